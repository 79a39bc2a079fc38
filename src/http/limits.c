#include "corianderstair/http_limits.h"

#include <glib.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

/* A few bodies of the largest size, on the smallest machine. */
#define HELD_MIN_BYTES ((int64_t)4 << 20)
#define CONNECTIONS_MIN 8

static int64_t
smaller_known(int64_t a, int64_t b)
{
    if (a <= 0 || b <= 0)
        return MAX(a, b);
    return MIN(a, b);
}

void
cs_machine_read(cs_machine *out, int64_t memory_bytes, int64_t descriptors)
{
    struct sysinfo info;
    struct rlimit limit;
    int64_t total_bytes = 0;
    int64_t open_max = 0;

    if (sysinfo(&info) == 0)
        total_bytes = (int64_t)info.totalram * info.mem_unit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
        limit.rlim_cur != RLIM_INFINITY)
        open_max = (int64_t)limit.rlim_cur;
    out->memory_bytes = smaller_known(memory_bytes, total_bytes);
    out->descriptors = smaller_known(descriptors, open_max);
}

void
cs_http_limits_share(cs_http_limits *out, const cs_machine *machine,
                     uint32_t memory_percent, uint32_t descriptor_percent)
{
    out->held_bytes =
        MAX(machine->memory_bytes / 100 * memory_percent, HELD_MIN_BYTES);
    out->connections =
        MAX(machine->descriptors * descriptor_percent / 100, CONNECTIONS_MIN);
    out->body_bytes = CS_HTTP_BODY_MAX_BYTES;
}
