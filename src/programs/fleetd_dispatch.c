/* The holder's calls through other VMs, and the calls of other holders. */
#include "fleetd.h"

#include <string.h>

static void
on_peer_message(void *data, const char *from, uint8_t kind, const void *bytes,
                size_t size_bytes)
{
    struct daemon *daemon = data;

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

/* Port 0 lets the kernel choose; peers have to know which. Without a link the
   process serves callers, and calls workers itself if it holds the cell. */
void
daemon_create_link(struct daemon *daemon)
{
    cs_vm_settings *settings = &daemon->settings;

    if (!settings->link_address[0])
        return;
    if (cs_peer_link_create(&daemon->link, daemon->counters,
                            settings->link_address, on_peer_message, daemon)) {
        cs_log_event("link-unavailable", "%s", cs_error_last());
        settings->link_address[0] = '\0';
        return;
    }
    g_strlcpy(settings->link_address, cs_peer_link_address(daemon->link),
              sizeof(settings->link_address));
}

void
daemon_create_dispatch(struct daemon *daemon)
{
    const cs_worker_port *direct = platform_workers_port(daemon->workers);
    cs_executor_settings carrying = {.workers = direct,
                                     .link =
                                         cs_peer_link_port_of(daemon->link),
                                     .now = daemon_now,
                                     .counters = daemon->counters};
    cs_dispatch_settings giving = {.direct = direct,
                                   .link = cs_peer_link_port_of(daemon->link),
                                   .members = daemon->members,
                                   .own_name = daemon->settings.name,
                                   .direct_max =
                                       (uint32_t)daemon->direct_workers,
                                   .now = daemon_now,
                                   .counters = daemon->counters};

    daemon->executor = cs_executor_create(&carrying);
    daemon->dispatch = cs_dispatch_create(&giving);
    daemon->board.ports.workers = cs_dispatch_port(daemon->dispatch);
}

void
daemon_tick_dispatch(struct daemon *daemon)
{
    cs_peer_link_tick(daemon->link);
    cs_executor_tick(daemon->executor, daemon->board.draining);
    cs_dispatch_tick(daemon->dispatch, !cs_fleet_is_released(daemon->fleet),
                     cs_fleet_worker_count(daemon->fleet));
}

void
daemon_destroy_dispatch(struct daemon *daemon)
{
    cs_dispatch_destroy(daemon->dispatch);
    cs_executor_destroy(daemon->executor);
    cs_peer_link_destroy(daemon->link);
}
