#include "corianderstair/outage.h"
#include "corianderstair/admit.h"
#include "corianderstair/clock.h"

#include <stdlib.h>

/* A VM that is not a candidate calls the store every 1.5 s only, and a call is
   given up after 0.9 s. */
#define SILENCE_MIN_US (2500 * CS_MS_US)
/* Calls have to fail for this long, so that neither a short disturbance nor a
   pause of the process counts as an outage. */
#define FAILING_MIN_US CS_SEC_US

bool
cs_outage_update(cs_outage *outage, int64_t answered_us,
                 int64_t failing_since_us, int64_t now_us)
{
    if (outage->since_us && answered_us > outage->since_us) {
        outage->past_us[outage->past_count++ % CS_OUTAGE_PAST_MAX] =
            answered_us - outage->since_us;
        outage->since_us = 0;
    }
    /* A process that has had no answer yet has no configuration and cannot
       take submissions anyway. */
    if (!outage->since_us && answered_us && failing_since_us &&
        now_us - answered_us >= SILENCE_MIN_US &&
        now_us - failing_since_us >= FAILING_MIN_US)
        outage->since_us = answered_us;
    return outage->since_us != 0;
}

static int
compare_lengths(const void *a, const void *b)
{
    int64_t first = *(const int64_t *)a;
    int64_t second = *(const int64_t *)b;

    return first < second ? -1 : first > second;
}

int64_t
cs_outage_rest_us(const cs_outage *outage, int64_t now_us)
{
    int64_t elapsed_us = now_us - outage->since_us;
    int64_t longer_us[CS_OUTAGE_PAST_MAX];
    uint32_t past = MIN(outage->past_count, CS_OUTAGE_PAST_MAX);
    uint32_t count = 0;
    uint32_t i;

    if (!outage->since_us)
        return 0;
    for (i = 0; i < past; i++) {
        if (outage->past_us[i] > elapsed_us)
            longer_us[count++] = outage->past_us[i];
    }
    /* Without a longer one, it is as likely to last as long again as not. */
    if (count == 0)
        return elapsed_us;
    qsort(longer_us, count, sizeof(longer_us[0]), compare_lengths);
    return longer_us[count / 2] - elapsed_us;
}

uint32_t
cs_outage_retry_after_s(const cs_outage *outage, int64_t now_us,
                        const char *id, int64_t timeout_ms)
{
    return cs_admit_retry_after_s(cs_outage_rest_us(outage, now_us) / CS_MS_US,
                                  id, timeout_ms);
}
