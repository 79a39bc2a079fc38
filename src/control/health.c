/*
 * Which workers are sound. A worker at which different jobs fail in a row is
 * set aside and tried again later, each time after twice as long; a job that
 * fails on several sound workers is at fault itself.
 */
#include "scheduler_internal.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

#define STRIKES_MAX 3
#define ASIDE_FIRST_US (60 * CS_SEC_US)
#define ASIDE_MAX_US (3600 * CS_SEC_US)

void
health_apply(struct link *link)
{
    bool usable = link->present && !link->cordoned &&
                  (link->state == LINK_READY || link->state == LINK_PROBING);

    if (link->s->sched)
        cs_sched_set_usable(link->s->sched, link->index, usable);
}

static void
set_aside(struct link *link)
{
    link->aside_us = link->aside_us ? MIN(link->aside_us * 2, ASIDE_MAX_US)
                                    : ASIDE_FIRST_US;
    link->aside_until_us = sched_now(link->s).boot_us + link->aside_us;
    link->state = LINK_ASIDE;
    health_apply(link);
    cs_log_event("worker-set-aside",
                 "%s failed %u jobs in a row; next try in %" PRId64 " s",
                 link->name, link->strikes, link->aside_us / CS_SEC_US);
}

static bool
failed_there(const struct gang *gang, const char *worker)
{
    int i;

    for (i = 0; i < 3; i++) {
        if (strcmp(gang->failed_on[i], worker) == 0)
            return true;
    }
    return false;
}

void
health_task_failed(struct link *link, struct gang *gang)
{
    if (link->state == LINK_PROBING) {
        set_aside(link);
        return;
    }
    if (strcmp(link->last_failed, gang->name) != 0)
        link->strikes++;
    g_strlcpy(link->last_failed, gang->name, sizeof(link->last_failed));
    if (gang->strikes < 3 && !failed_there(gang, link->name)) {
        g_strlcpy(gang->failed_on[gang->strikes], link->name,
                  sizeof(gang->failed_on[0]));
        gang->strikes++;
    }
    if (link->state == LINK_READY && link->strikes >= STRIKES_MAX)
        set_aside(link);
}

void
health_task_done(struct link *link)
{
    link->strikes = 0;
    link->last_failed[0] = '\0';
    if (link->state != LINK_PROBING)
        return;
    link->state = LINK_READY;
    link->aside_us = 0;
    health_apply(link);
    cs_log_event("worker-sound", "%s has done a job again", link->name);
}

void
health_tick(struct link *link)
{
    if (link->state != LINK_ASIDE ||
        sched_now(link->s).boot_us < link->aside_until_us)
        return;
    link->state = LINK_PROBING;
    link->strikes = 0;
    health_apply(link);
    link->s->decide = true;
    cs_log_event("worker-probing", "%s is tried again", link->name);
}
