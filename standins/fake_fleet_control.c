/* The controls of a simulated deployment over HTTP. */
#include "fake_fleet_internal.h"
#include "fake_fleet_http.h"

#include <stdlib.h>

static void
reply(cs_http_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    cs_http_reply(request, status, "application/json", text, strlen(text));
    free(text);
    json_decref(body);
}

static void
update_share(double *share, const json_t *body, const char *name)
{
    const json_t *value = json_object_get(body, name);

    if (json_is_number(value))
        *share = json_number_value(value);
}

static void
update_switch(bool *on, const json_t *body, const char *name)
{
    const json_t *value = json_object_get(body, name);

    if (json_is_boolean(value))
        *on = json_is_true(value);
}

/* Returns whether the body names a worker that exists. */
static bool
get_worker(uint32_t *out, const fake_fleet *deployment, const json_t *body,
           const char *name)
{
    const json_t *value = json_object_get(body, name);

    if (!json_is_integer(value) || json_integer_value(value) < 0 ||
        json_integer_value(value) >= deployment->worker_count)
        return false;
    *out = (uint32_t)json_integer_value(value);
    return true;
}

static void
update_faults(fake_fleet *deployment, const json_t *body)
{
    const json_t *store_delay = json_object_get(body, "store_delay_ms");
    const json_t *order_delay = json_object_get(body, "order_delay_ms");
    fake_vm_faults faults = deployment->vms[0].faults;
    uint32_t worker;

    update_share(&faults.late_orders_share, body, "late_orders");
    update_share(&faults.unanswered_orders_share, body, "unanswered_orders");
    update_share(&faults.late_changes_share, body, "late_changes");
    update_share(&faults.unanswered_changes_share, body, "unanswered_changes");
    update_switch(&faults.store_refuses, body, "store_refuses");
    update_switch(&faults.store_unreachable, body, "store_unreachable");
    if (json_is_integer(order_delay))
        faults.order_delay_us = json_integer_value(order_delay) * CS_MS_US;
    fake_fleet_set_faults(deployment, -1, &faults);
    if (json_is_integer(store_delay))
        fake_fleet_set_store_delay(deployment,
                                   json_integer_value(store_delay) * CS_MS_US);
    if (get_worker(&worker, deployment, body, "expire_entry"))
        fake_fleet_expire_entry(deployment, worker);
    if (get_worker(&worker, deployment, body, "crash_worker"))
        fake_fleet_crash_worker(
            deployment, worker,
            json_integer_value(json_object_get(body, "down_ms")) * CS_MS_US);
    if (get_worker(&worker, deployment, body, "hide_worker"))
        fake_fleet_hide_worker(
            deployment, worker,
            json_integer_value(json_object_get(body, "hidden_ms")) * CS_MS_US);
}

static void
handle_faults(fake_fleet *deployment, cs_http_request *request)
{
    size_t size;
    const char *text = cs_http_request_body(request, &size);
    json_t *body = json_loadb(text, size, 0, NULL);

    if (!json_is_object(body)) {
        json_decref(body);
        reply(request, 400, json_object());
        return;
    }
    update_faults(deployment, body);
    json_decref(body);
    reply(request, 200, json_object());
}

void
fake_fleet_http_control(fake_fleet *deployment, cs_http_request *request)
{
    const char *violation = fake_fleet_violation(deployment);

    if (strcmp(cs_http_request_path(request), "/faults") == 0) {
        handle_faults(deployment, request);
        return;
    }
    reply(request, 200,
          json_pack("{s:I,s:I,s:s?,s:b}", "starts",
                    (json_int_t)fake_fleet_total_starts(deployment),
                    "violations",
                    (json_int_t)fake_fleet_violation_count(deployment),
                    "first_violation", violation, "idle",
                    fake_fleet_is_idle(deployment)));
}
