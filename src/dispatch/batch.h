/* Definitions shared by the batch encoder and decoder. */
#ifndef CS_BATCH_H
#define CS_BATCH_H

#include "corianderstair/dispatch_batch.h"

/* Version of the encoding; a batch of any other version is rejected. */
#define BATCH_VERSION 1

#endif
