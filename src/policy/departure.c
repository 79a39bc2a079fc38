#include "corianderstair/departure.h"
#include "corianderstair/clock.h"

/* The store removes an entry after three intervals of silence. Two leave a
   whole interval for writes that were late on their way. */
#define SILENCE_MAX_INTERVALS 2

bool
cs_departure_is_certain(const cs_departure *departure)
{
    int64_t silence_max_us =
        SILENCE_MAX_INTERVALS * departure->heartbeat_ms * CS_MS_US;

    return departure->draining && departure->heartbeat_ms > 0 &&
           departure->written_after_us > 0 &&
           departure->removal_read_us - departure->written_after_us <
               silence_max_us;
}
