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
fields__defaults_and_values(void **state)
{
    cs_resource r;

    assert_int_equal(read_text(&r, CS_KIND_ORGANISATION,
                               "{\"name\":\"o\",\"guarantees\":[{\"zone\":"
                               "\"z\",\"accelerators\":8,\"count\":2}]}"),
                     0);
    assert_int_equal(r.u.organisation.weight, 1);
    assert_int_equal(r.u.organisation.guarantee_count, 1);
    assert_int_equal(r.u.organisation.guarantees[0].count, 2);
    cs_resource_clear(&r);
}

static void
fields__written_form_reads_back_the_same(void **state)
{
    static const char text[] =
        "{\"name\":\"j\",\"organisation\":\"o\",\"zone\":\"z\",\"class\":"
        "\"c\",\"tier\":\"urgent\",\"accelerators\":32,\"declared_s\":9,"
        "\"run_ms\":10,\"restartable\":true,\"checkpoint\":true,"
        "\"cancelled\":false}";
    cs_resource r;
    json_t *before = json_loads(text, 0, NULL);
    json_t *after;

    assert_int_equal(read_text(&r, CS_KIND_JOB, text), 0);
    after = cs_resource_write(&r);
    assert_true(json_equal(before, after));
    json_decref(before);
    json_decref(after);
    cs_resource_clear(&r);
}

static void
fields__mistakes_have_their_codes(void **state)
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
    cs_resource r;
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
        assert_int_equal(read_text(&r, cases[i].kind, cases[i].text),
                         cases[i].code);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fields__defaults_and_values),
        cmocka_unit_test(fields__written_form_reads_back_the_same),
        cmocka_unit_test(fields__mistakes_have_their_codes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
