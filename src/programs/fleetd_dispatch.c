/* Calls to workers that are made through other VMs: as the holder that sends
   them out, and as the executor that makes them for another holder. */
#include "fleetd.h"

#include <string.h>

static void
on_peer_message(void *user_data, const char *from, uint8_t kind,
                const void *bytes, size_t size_bytes)
{
    struct daemon *daemon = user_data;

    switch (kind) {
    case CS_PEER_ORDERS:
        cs_executor_receive(daemon->executor, from, bytes, size_bytes);
        return;
    case CS_PEER_ANSWERS:
        cs_dispatch_receive(daemon->dispatch, from, bytes, size_bytes);
        return;
    default:
        return;
    }
}

/* Replaces port 0 of the link address by the port that the kernel chose, since
   peers read the address from this VM's row in the store. If the link cannot
   be opened, the process still serves callers, and as the holder it calls all
   workers itself. */
void
daemon_create_link(struct daemon *daemon)
{
    cs_vm_settings *settings = &daemon->settings;

    if (!settings->link_address[0])
        return;
    if (cs_peer_link_create(&daemon->peer_link, daemon->counters,
                            settings->link_address, on_peer_message, daemon)) {
        cs_log_event("link-unavailable", "%s", cs_error_last());
        settings->link_address[0] = '\0';
        return;
    }
    g_strlcpy(settings->link_address, cs_peer_link_address(daemon->peer_link),
              sizeof(settings->link_address));
}

static uint64_t
random_session(void)
{
    return ((uint64_t)g_random_int() << 30 | g_random_int() >> 2) + 1;
}

void
daemon_create_dispatch(struct daemon *daemon)
{
    const cs_worker_port *direct = platform_workers_port(daemon->worker_calls);
    cs_executor_settings executor_settings = {
        .workers = direct,
        .link = cs_peer_link_port_of(daemon->peer_link),
        .evacuations = daemon->state.evacuations,
        .now = daemon_now,
        .counters = daemon->counters,
        .session = random_session()};
    cs_dispatch_settings dispatch_settings = {
        .direct = direct,
        .link = cs_peer_link_port_of(daemon->peer_link),
        .members = daemon->members,
        .own_name = daemon->settings.name,
        .max_direct_workers = (uint32_t)daemon->max_direct_workers,
        .now = daemon_now,
        .counters = daemon->counters,
        .session = random_session()};

    daemon->executor = cs_executor_create(&executor_settings);
    daemon->dispatch = cs_dispatch_create(&dispatch_settings);
    daemon->state.ports.workers = cs_dispatch_port(daemon->dispatch);
}

void
daemon_tick_dispatch(struct daemon *daemon)
{
    cs_peer_link_tick(daemon->peer_link);
    cs_executor_tick(daemon->executor, daemon->state.draining);
    cs_dispatch_tick(daemon->dispatch, !cs_fleet_is_released(daemon->fleet),
                     cs_fleet_worker_count(daemon->fleet));
}

void
daemon_destroy_dispatch(struct daemon *daemon)
{
    cs_dispatch_destroy(daemon->dispatch);
    cs_executor_destroy(daemon->executor);
    cs_peer_link_destroy(daemon->peer_link);
}
