#include "poller.h"
#include "corianderstair/errors.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Descriptors that are served before the other sources of the main loop get
   their turn. */
#define BATCH 32

struct poller {
    int fd;
    guint source;
    struct epoll_event batch[BATCH];
    int batch_count; /* 0 while no batch is being served */
};

static gboolean
on_ready(gint fd, GIOCondition condition, gpointer user_data)
{
    struct poller *poller = user_data;
    int i;

    poller->batch_count = epoll_wait(fd, poller->batch, BATCH, 0);
    for (i = 0; i < poller->batch_count; i++) {
        struct poll_entry *entry = poller->batch[i].data.ptr;

        if (entry)
            entry->ready(entry, poller->batch[i].events);
    }
    poller->batch_count = 0;
    return G_SOURCE_CONTINUE;
}

struct poller *
poller_create(void)
{
    struct poller *poller = g_new0(struct poller, 1);

    poller->fd = epoll_create1(EPOLL_CLOEXEC);
    if (poller->fd < 0) {
        g_free(poller);
        return NULL;
    }
    poller->source = g_unix_fd_add(poller->fd, G_IO_IN, on_ready, poller);
    return poller;
}

void
poller_destroy(struct poller *poller)
{
    if (!poller)
        return;
    g_source_remove(poller->source);
    close(poller->fd);
    g_free(poller);
}

int
poller_add(struct poller *poller, struct poll_entry *entry)
{
    struct epoll_event event = {.events = entry->events, .data.ptr = entry};

    if (epoll_ctl(poller->fd, EPOLL_CTL_ADD, entry->fd, &event))
        return cs_error_set(CS_E_SYSTEM, "cannot poll a socket");
    return 0;
}

void
poller_watch(struct poller *poller, struct poll_entry *entry, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = entry};

    if (entry->events == events)
        return;
    entry->events = events;
    epoll_ctl(poller->fd, EPOLL_CTL_MOD, entry->fd, &event);
}

void
poller_close(struct poller *poller, struct poll_entry *entry)
{
    int i;

    for (i = 0; i < poller->batch_count; i++) {
        if (poller->batch[i].data.ptr == entry)
            poller->batch[i].data.ptr = NULL;
    }
    epoll_ctl(poller->fd, EPOLL_CTL_DEL, entry->fd, NULL);
    close(entry->fd);
    entry->fd = -1;
}
