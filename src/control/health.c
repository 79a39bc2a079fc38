/* Sets in the policy which workers are usable, and logs changes of their
   health. */
#include "scheduler_internal.h"
#include "corianderstair/log.h"

void
health_update_usable(struct link *link)
{
    bool usable =
        link->declared && !link->cordoned && link->state == LINK_READY;

    if (link->scheduler->sched)
        cs_sched_set_usable(link->scheduler->sched, link->index, usable);
}

void
health_log_change(struct link *link)
{
    static const char *const events[] = {"worker-sound", "worker-set-aside",
                                         "worker-probing"};
    cs_health health = cs_sched_health(link->scheduler->sched, link->index);

    if (health == link->health)
        return;
    link->health = health;
    cs_log_event(events[health], "%s", link->name);
}
