/*
 * Messages between VMs, and the CPU time of a VM's calls and messages. The
 * process of a VM is single-threaded: each operation occupies it for its cost
 * divided by the VM's share of a core, and delays all later operations.
 */
#include "fake_fleet_internal.h"

#include <stdlib.h>

/* Followed by the number of the VM. */
#define LINK_ADDRESS_PREFIX "10.7.0.1:"
/* Between attempts to connect to a VM that cannot be reached. */
#define RECONNECT_INTERVAL_US (100 * CS_MS_US)

struct peer_message {
    fake_fleet *deployment;
    uint32_t from;
    uint32_t receiver;
    uint64_t receiver_incarnation; /* when it was sent */
    uint64_t sender_incarnation;
    uint32_t connection; /* of the sender to the receiver */
    bool has_waited;     /* for a connection */
    uint8_t kind;
    GByteArray *bytes;
};

void
fake_link_address(char *out, size_t size, uint32_t vm)
{
    g_snprintf(out, size, LINK_ADDRESS_PREFIX "%u", vm);
}

int64_t
fake_charge_cpu(struct fake_vm *vm, int64_t cost_us)
{
    int64_t now_us = vm->deployment->now_us;

    if (cost_us <= 0)
        return now_us;
    vm->busy_until_us = MAX(vm->busy_until_us, now_us) +
                        cost_us * 1000 / MAX(vm->cpu_milli, 1);
    return vm->busy_until_us;
}

static void
message_free(struct peer_message *message)
{
    g_byte_array_unref(message->bytes);
    g_free(message);
}

static bool
is_unreachable(const struct peer_message *message)
{
    const struct fake_vm *receiver =
        &message->deployment->vms[message->receiver];
    const struct fake_vm *from = &message->deployment->vms[message->from];

    return !receiver->up || receiver->faults.peers_unreachable ||
           from->faults.peers_unreachable ||
           !fake_zones_are_connected(message->deployment,
                                     message->receiver % FAKE_ZONES,
                                     message->from % FAKE_ZONES);
}

/* Returns whether a message stays in the sender's queue. */
static bool
must_wait(const struct peer_message *message)
{
    const struct fake_vm *from = &message->deployment->vms[message->from];

    return message->deployment->messages_wait && from->up &&
           from->incarnation == message->sender_incarnation &&
           from->connections[message->receiver] == message->connection &&
           is_unreachable(message);
}

static bool
is_lost(const struct peer_message *message)
{
    const struct fake_vm *receiver =
        &message->deployment->vms[message->receiver];

    return message->deployment->shutting_down || is_unreachable(message) ||
           (!message->has_waited &&
            receiver->incarnation != message->receiver_incarnation);
}

static void
deliver(void *user_data)
{
    struct peer_message *message = user_data;
    struct fake_vm *receiver = &message->deployment->vms[message->receiver];
    int64_t free_us = MAX(receiver->busy_until_us, receiver->frozen_until_us);
    char from[48];

    if (!message->deployment->shutting_down && must_wait(message)) {
        message->has_waited = true;
        fake_schedule(message->deployment,
                      message->deployment->now_us + RECONNECT_INTERVAL_US,
                      deliver, message);
        return;
    }
    if (is_lost(message)) {
        message_free(message);
        return;
    }
    if (free_us > message->deployment->now_us) {
        fake_schedule(message->deployment, free_us, deliver, message);
        return;
    }
    fake_charge_cpu(receiver, message->deployment->message_us);
    fake_link_address(from, sizeof(from), message->from);
    if (message->kind == CS_PEER_ORDERS)
        cs_executor_receive(receiver->executor, from, message->bytes->data,
                            message->bytes->len);
    else
        cs_dispatch_receive(receiver->dispatch, from, message->bytes->data,
                            message->bytes->len);
    message_free(message);
}

static uint32_t
receiver_of(const char *address)
{
    return (uint32_t)atoi(address + strlen(LINK_ADDRESS_PREFIX));
}

static void
link_send(void *self, const char *address, uint8_t kind, const void *bytes,
          size_t size_bytes)
{
    struct fake_vm *vm = self;
    struct peer_message *message = g_new0(struct peer_message, 1);
    int64_t at_us = fake_charge_cpu(vm, vm->deployment->message_us);

    message->deployment = vm->deployment;
    message->from = vm->number;
    message->receiver = receiver_of(address);
    message->sender_incarnation = vm->incarnation;
    message->connection = vm->connections[message->receiver];
    message->receiver_incarnation =
        vm->deployment->vms[message->receiver].incarnation;
    message->kind = kind;
    message->bytes = g_byte_array_new();
    g_byte_array_append(message->bytes, bytes, (guint)size_bytes);
    fake_schedule(vm->deployment, at_us + FAKE_NETWORK_DELAY_US, deliver,
                  message);
}

static void
link_close(void *self, const char *address)
{
    struct fake_vm *vm = self;

    vm->connections[receiver_of(address)]++;
}

void
fake_link_start(struct fake_vm *vm, uint32_t max_direct_workers)
{
    uint64_t session =
        ((uint64_t)vm->number << 32 | vm->incarnation << 16) + 1;
    cs_executor_settings executor_settings = {.workers = &vm->workers,
                                              .link = &vm->link,
                                              .evacuations =
                                                  vm->state.evacuations,
                                              .now = fake_vm_now,
                                              .now_data = vm,
                                              .counters = vm->counters,
                                              .session = session};
    cs_dispatch_settings dispatch_settings = {
        .direct = &vm->workers,
        .link = &vm->link,
        .members = vm->members,
        .own_name = vm->state.settings.name,
        .max_direct_workers = max_direct_workers,
        .now = fake_vm_now,
        .now_data = vm,
        .counters = vm->counters,
        .session = session};

    vm->incarnation++;
    vm->link.self = vm;
    vm->link.send = link_send;
    vm->link.close = link_close;
    vm->executor = cs_executor_create(&executor_settings);
    vm->dispatch = cs_dispatch_create(&dispatch_settings);
    vm->state.ports.workers = cs_dispatch_port(vm->dispatch);
}

void
fake_link_close(struct fake_vm *vm)
{
    cs_dispatch_close(vm->dispatch);
}

void
fake_link_dispose(struct fake_vm *vm)
{
    cs_dispatch_destroy(vm->dispatch);
    cs_executor_destroy(vm->executor);
}

void
fake_link_tick(struct fake_vm *vm)
{
    cs_executor_tick(vm->executor, vm->state.draining);
    cs_dispatch_tick(vm->dispatch, !cs_fleet_is_released(vm->fleet),
                     cs_fleet_worker_count(vm->fleet));
}
