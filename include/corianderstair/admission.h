/**
 * @file admission.h
 * Admission rules for changes of resources: every reference exists, all
 * guarantees can be honoured at once, and a declared job changes only by being
 * cancelled.
 */
#ifndef CS_ADMISSION_H
#define CS_ADMISSION_H

#include "corianderstair/store_view.h"

/**
 * Checks a change against the current resources.
 * @return 0; CS_E_NOT_FOUND for a missing reference, CS_E_IN_USE for a
 *         deletion of something still referred to, CS_E_GUARANTEE, or the
 *         error of an invalid value, such as CS_E_INVALID
 */
int cs_admission_check(const cs_store_view *store_view,
                       const cs_change *change);

#endif
