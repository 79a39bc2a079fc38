#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "corianderstair/errors.h"
#include "corianderstair/resource.h"

static int
read_text(cs_resource *out, cs_kind kind, const char *text)
{
    json_t *object = json_loads(text, 0, NULL);
    int rc;

    assert_non_null(object);
    rc = cs_resource_read(out, kind, object);
    json_decref(object);
    return rc;
}

static void
fields__values_are_read_and_defaults_are_kept(void **state)
{
    cs_resource resource;

    assert_int_equal(read_text(&resource, CS_KIND_ORGANISATION,
                               "{\"name\":\"o\",\"guarantees\":[{\"zone\":"
                               "\"z\",\"accelerators\":8,\"count\":2}]}"),
                     0);
    assert_int_equal(resource.u.organisation.weight, 1);
    assert_int_equal(resource.u.organisation.guarantee_count, 1);
    assert_int_equal(resource.u.organisation.guarantees[0].count, 2);
    cs_resource_clear(&resource);
}

static void
fields__written_object_equals_the_read_one(void **state)
{
    static const char text[] =
        "{\"name\":\"j\",\"organisation\":\"o\",\"zone\":\"z\",\"class\":"
        "\"c\",\"tier\":\"urgent\",\"accelerators\":32,\"declared_s\":9,"
        "\"run_ms\":10,\"restartable\":true,\"checkpoint\":true,"
        "\"cancelled\":false}";
    cs_resource resource;
    json_t *before = json_loads(text, 0, NULL);
    json_t *after;

    assert_int_equal(read_text(&resource, CS_KIND_JOB, text), 0);
    after = cs_resource_write(&resource);
    assert_true(json_equal(before, after));
    json_decref(before);
    json_decref(after);
    cs_resource_clear(&resource);
}

static void
fields__invalid_objects_are_rejected_with_their_codes(void **state)
{
    static const struct {
        cs_kind kind;
        const char *text;
        int code;
    } cases[] = {
        {CS_KIND_ZONE, "{}", CS_E_FIELD},
        {CS_KIND_ZONE, "{\"name\":\"a\",\"x\":1}", CS_E_FIELD},
        {CS_KIND_ZONE, "{\"name\":1}", CS_E_INVALID},
        {CS_KIND_ZONE, "{\"name\":\"A\"}", CS_E_INVALID},
        {CS_KIND_ZONE, "{\"name\":\"\"}", CS_E_INVALID},
        {CS_KIND_ZONE, "[]", CS_E_INVALID},
        {CS_KIND_ZONE, "{\"name\":\"a\",\"spare_workers\":-1}", CS_E_INVALID},
        {CS_KIND_WORKER,
         "{\"name\":\"w\",\"zone\":\"z\",\"rack\":0,\"accelerators\":8,"
         "\"address\":\"host:1\"}",
         CS_E_INVALID},
        {CS_KIND_WORKER,
         "{\"name\":\"w\",\"zone\":\"z\",\"rack\":0,\"accelerators\":65,"
         "\"address\":\"127.0.0.1:1\"}",
         CS_E_INVALID},
    };
    cs_resource resource;
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
        assert_int_equal(read_text(&resource, cases[i].kind, cases[i].text),
                         cases[i].code);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fields__values_are_read_and_defaults_are_kept),
        cmocka_unit_test(fields__written_object_equals_the_read_one),
        cmocka_unit_test(
            fields__invalid_objects_are_rejected_with_their_codes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
