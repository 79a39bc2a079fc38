#include "corianderstair/change.h"
#include "corianderstair/errors.h"

#include <glib.h>
#include <string.h>

static const char *const op_names[] = {"put", "delete", "status"};

cs_change *
cs_change_create(const char *scope, cs_change_op op, cs_kind kind,
                 const char *name, json_t *value)
{
    cs_change *change = g_new0(cs_change, 1);

    g_strlcpy(change->scope, scope, sizeof(change->scope));
    g_strlcpy(change->name, name, sizeof(change->name));
    change->op = op;
    change->kind = kind;
    change->value = value;
    return change;
}

void
cs_change_destroy(cs_change *change)
{
    if (!change)
        return;
    json_decref(change->value);
    g_free(change);
}

json_t *
cs_change_write(const cs_change *change)
{
    json_t *object =
        json_pack("{s:s,s:I,s:s,s:s,s:I,s:s,s:s,s:s}", "scope", change->scope,
                  "version", (json_int_t)change->version, "txn", change->txn,
                  "writer", change->writer, "at_us", (json_int_t)change->at_us,
                  "op", op_names[change->op], "kind",
                  cs_kind_name(change->kind), "name", change->name);

    if (change->value)
        json_object_set(object, "value", change->value);
    return object;
}

static int
find_op(cs_change_op *out, const char *name)
{
    int i;

    for (i = 0; i < 3; i++) {
        if (strcmp(op_names[i], name) == 0) {
            *out = (cs_change_op)i;
            return 0;
        }
    }
    return CS_E_JSON;
}

int
cs_change_read(cs_change **out, const json_t *object)
{
    const char *scope;
    const char *txn;
    const char *writer;
    const char *op_name;
    const char *kind_name;
    const char *name;
    json_int_t version;
    json_int_t at_us;
    cs_change *change;
    cs_change_op op;
    cs_kind kind;

    if (json_unpack((json_t *)object, "{s:s,s:I,s:s,s:s,s:I,s:s,s:s,s:s}",
                    "scope", &scope, "version", &version, "txn", &txn,
                    "writer", &writer, "at_us", &at_us, "op", &op_name, "kind",
                    &kind_name, "name", &name) ||
        find_op(&op, op_name) || cs_kind_find(&kind, kind_name))
        return cs_error_set(CS_E_JSON,
                            "a change record has missing or invalid fields");
    change = cs_change_create(scope, op, kind, name,
                              json_incref(json_object_get(object, "value")));
    change->version = (uint64_t)version;
    change->at_us = at_us;
    g_strlcpy(change->txn, txn, sizeof(change->txn));
    g_strlcpy(change->writer, writer, sizeof(change->writer));
    *out = change;
    return 0;
}

const char *
cs_change_op_name(cs_change_op op)
{
    return op_names[op];
}
