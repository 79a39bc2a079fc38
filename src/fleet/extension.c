/*
 * How long the leases of a tenure may last without the store.
 *
 * A holder that cannot renew the cell's lease goes on to extend the leases of
 * its workers for a while, so that work does not end because the store is
 * away, or a zone is cut off with the holder in it. Its successor may start
 * the work of silent workers only after that. The epoch row states the time,
 * so that both sides count with the same one whatever their builds and
 * settings are.
 */
#include "fleet_internal.h"
#include "corianderstair/record.h"

/* Leases are extended without the store for at most this long, and by former
   builds for exactly this long. */
#define EXTEND_MAX_US (15 * CS_SEC_US)
/* And for at least this long: two renewals, each after a call without an
   answer. */
#define EXTEND_MIN_US (2 * CS_SEC_US)
/* Of the time within which lost tasks have to run again: a successor sees the
   last renewal up to 0.4 s after it, and plans, records and starts the tasks
   within 0.2 s. */
#define RESTART_MARGIN_US CS_SEC_US

int64_t
extension_longest_us(const cs_fleet *fleet)
{
    return worker_lease_end_us(fleet, EXTEND_MAX_US);
}

int64_t
extension_choose_us(const cs_fleet *fleet)
{
    int64_t restart_us = fleet->state->settings.bounds.restart_ms * CS_MS_US;
    int64_t longest_us = extension_longest_us(fleet);

    if (restart_us <= 0)
        return longest_us;
    return CLAMP(restart_us - RESTART_MARGIN_US,
                 worker_lease_end_us(fleet, EXTEND_MIN_US), longest_us);
}

void
extension_begin(cs_fleet *fleet, int64_t renewed_us, int64_t leases_last_us)
{
    fleet->leases_last_us = leases_last_us;
    extension_renew(fleet, renewed_us);
}

void
extension_renew(cs_fleet *fleet, int64_t renewed_us)
{
    fleet->leases_due_us = renewed_us + fleet->leases_last_us;
}

void
extension_end(cs_fleet *fleet)
{
    fleet->leases_due_us = 0;
}

bool
extension_is_allowed(const cs_fleet *fleet)
{
    return worker_lease_end_us(fleet, fleet_now(fleet).boot_us) <=
           fleet->leases_due_us;
}

void
extension_encode(msgpack_packer *packer, int64_t leases_last_us)
{
    msgpack_pack_array(packer, 1);
    msgpack_pack_int64(packer, leases_last_us / CS_MS_US);
}

bool
extension_decode(int64_t *leases_last_us, const msgpack_object *item)
{
    cs_record_reader reader;

    cs_record_reader_init(&reader, item);
    *leases_last_us = cs_record_read_int(&reader) * CS_MS_US;
    return !reader.failed;
}
