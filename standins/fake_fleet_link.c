/*
 * Messages between VMs, and what a VM's calls cost it. A process makes one
 * call after another: each takes its cost divided by the VM's share of a
 * core, and what it does later waits.
 */
#include "fake_fleet_internal.h"

#include <stdlib.h>

#define LINK_PREFIX "10.7.0.1:"

struct parcel {
    fake_fleet *world;
    uint32_t from;
    uint32_t to;
    uint64_t life; /* of the receiver when it was sent */
    uint8_t kind;
    GByteArray *bytes;
};

void
fake_link_address(char *out, size_t size, uint32_t vm)
{
    g_snprintf(out, size, LINK_PREFIX "%u", vm);
}

int64_t
fake_charge(struct fake_vm *vm, int64_t cost_us)
{
    int64_t now_us = vm->world->now_us;

    if (cost_us <= 0)
        return now_us;
    vm->busy_until_us = MAX(vm->busy_until_us, now_us) +
                        cost_us * 1000 / MAX(vm->cpu_milli, 1);
    return vm->busy_until_us;
}

static void
parcel_free(struct parcel *parcel)
{
    g_byte_array_unref(parcel->bytes);
    g_free(parcel);
}

static bool
is_passed_over(const struct parcel *parcel)
{
    const struct fake_vm *to = &parcel->world->vms[parcel->to];
    const struct fake_vm *from = &parcel->world->vms[parcel->from];

    return !to->up || to->life != parcel->life || to->faults.peers_cut ||
           from->faults.peers_cut;
}

static void
arrive(void *data)
{
    struct parcel *parcel = data;
    struct fake_vm *to = &parcel->world->vms[parcel->to];
    int64_t free_us = MAX(to->busy_until_us, to->frozen_until_us);
    char from[48];

    if (parcel->world->ended || is_passed_over(parcel)) {
        parcel_free(parcel);
        return;
    }
    if (free_us > parcel->world->now_us) {
        fake_at(parcel->world, free_us, arrive, parcel);
        return;
    }
    fake_charge(to, parcel->world->message_us);
    fake_link_address(from, sizeof(from), parcel->from);
    if (parcel->kind == CS_PEER_ORDERS)
        cs_executor_receive(to->executor, from, parcel->bytes->data,
                            parcel->bytes->len);
    else
        cs_dispatch_receive(to->dispatch, from, parcel->bytes->data,
                            parcel->bytes->len);
    parcel_free(parcel);
}

static void
link_send(void *self, const char *address, uint8_t kind, const void *bytes,
          size_t size_bytes)
{
    struct fake_vm *vm = self;
    struct parcel *parcel = g_new0(struct parcel, 1);
    int64_t at_us = fake_charge(vm, vm->world->message_us);

    parcel->world = vm->world;
    parcel->from = vm->number;
    parcel->to = (uint32_t)atoi(address + strlen(LINK_PREFIX));
    parcel->life = vm->world->vms[parcel->to].life;
    parcel->kind = kind;
    parcel->bytes = g_byte_array_new();
    g_byte_array_append(parcel->bytes, bytes, (guint)size_bytes);
    fake_at(vm->world, at_us + FAKE_HOP_US, arrive, parcel);
}

static void
link_close(void *self, const char *address)
{
}

void
fake_link_start(struct fake_vm *vm, uint32_t direct_max)
{
    cs_executor_settings carrying = {.workers = &vm->workers,
                                     .link = &vm->link,
                                     .now = fake_vm_now,
                                     .now_data = vm,
                                     .counters = vm->counters};
    cs_dispatch_settings giving = {.direct = &vm->workers,
                                   .link = &vm->link,
                                   .members = vm->members,
                                   .own_name = vm->board.settings.name,
                                   .direct_max = direct_max,
                                   .now = fake_vm_now,
                                   .now_data = vm,
                                   .counters = vm->counters};

    vm->life++;
    vm->link.self = vm;
    vm->link.send = link_send;
    vm->link.close = link_close;
    vm->executor = cs_executor_create(&carrying);
    vm->dispatch = cs_dispatch_create(&giving);
    vm->board.ports.workers = cs_dispatch_port(vm->dispatch);
}

void
fake_link_end(struct fake_vm *vm)
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
    cs_executor_tick(vm->executor, vm->board.draining);
    cs_dispatch_tick(vm->dispatch, !cs_fleet_is_released(vm->fleet),
                     cs_fleet_worker_count(vm->fleet));
}
