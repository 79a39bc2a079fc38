/* Shared by the writer and the reader of messages between VMs. */
#ifndef CS_BATCH_H
#define CS_BATCH_H

#include "corianderstair/dispatch_batch.h"

#define MESSAGE_VERSION 1

#endif
