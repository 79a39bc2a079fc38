/* Readiness of the sockets of HTTP servers: one epoll set, which the main loop
   polls as one descriptor, however many connections there are. */
#ifndef CS_HTTP_POLLER_H
#define CS_HTTP_POLLER_H

#include <stdint.h>

struct poller;

/* A descriptor in the set; part of its owner. */
struct poll_entry {
    int fd;
    uint32_t events; /* of interest, EPOLLIN and so on */
    void (*ready)(struct poll_entry *entry, uint32_t events);
};

/* Returns NULL on failure. */
struct poller *poller_create(void);
void poller_destroy(struct poller *poller);

/* Adds a descriptor with the events of its entry. Returns 0 or CS_E_SYSTEM. */
int poller_add(struct poller *poller, struct poll_entry *entry);
/* Changes the events of interest; the level of readiness counts. Errors and
   the end of both directions are always reported. */
void poller_watch(struct poller *poller, struct poll_entry *entry,
                  uint32_t events);
/* Takes a descriptor out of the set and closes it. Its entry gets no further
   call, also of events that have been read already. */
void poller_close(struct poller *poller, struct poll_entry *entry);

#endif
