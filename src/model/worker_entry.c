#include "corianderstair/worker_entry.h"

#include <string.h>

void
cs_worker_entry_init(cs_worker_entry *entry)
{
    memset(entry, 0, sizeof(*entry));
    entry->remaining_ms = -1;
    entry->labels = g_ptr_array_new_with_free_func(g_free);
}

void
cs_worker_entry_dispose(cs_worker_entry *entry)
{
    if (entry->labels)
        g_ptr_array_free(entry->labels, TRUE);
    entry->labels = NULL;
}
