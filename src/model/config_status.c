#include "corianderstair/config_status.h"
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"

#include <glib.h>
#include <inttypes.h>

int64_t
cs_config_status_age_ms(const cs_config_status *status, int64_t now_us)
{
    return status->confirmed_us ? (now_us - status->confirmed_us) / CS_MS_US
                                : -1;
}

/* Appends what the follower is doing now. */
static void
append_call(GString *text, const cs_config_status *status, int64_t now_us)
{
    switch (status->call) {
    case CS_CONFIG_CALL_NONE:
        g_string_append_printf(text, "next call in %" PRId64 " ms",
                               MAX(status->next_call_us - now_us, 0) /
                                   CS_MS_US);
        break;
    case CS_CONFIG_CALL_READ:
        g_string_append_printf(text, "read in flight for %" PRId64 " ms",
                               (now_us - status->sent_us) / CS_MS_US);
        break;
    case CS_CONFIG_CALL_POLL:
        g_string_append_printf(text, "poll in flight for %" PRId64 " ms",
                               (now_us - status->sent_us) / CS_MS_US);
        break;
    }
}

void
cs_config_status_describe(char out[CS_CONFIG_STATUS_TEXT_BYTES],
                          const cs_config_status *status, int64_t now_us)
{
    GString *text = g_string_new(NULL);

    if (status->confirmed_us)
        g_string_append_printf(text, "confirmed %" PRId64 " ms ago, ",
                               cs_config_status_age_ms(status, now_us));
    else
        g_string_append(text, "never confirmed, ");
    append_call(text, status, now_us);
    if (status->failed_calls > 0)
        g_string_append_printf(
            text, ", %u calls failed, the last with %s%s",
            status->failed_calls, cs_error_name(status->failure),
            status->failed_midway ? " in the transfer" : "");
    if (status->unreadable)
        g_string_append(text, ", the newest row cannot be decoded");
    g_strlcpy(out, text->str, CS_CONFIG_STATUS_TEXT_BYTES);
    g_string_free(text, TRUE);
}
