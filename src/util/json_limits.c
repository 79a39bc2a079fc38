#include "corianderstair/json_limits.h"
#include "corianderstair/errors.h"

#include <string.h>

/* Returns the end of the string that begins at text, which is a quote. */
static const char *
skip_string(const char *text, const char *end)
{
    for (text++; text < end && *text != '"'; text++) {
        if (*text == '\\')
            text++;
    }
    return text < end ? text : end - 1;
}

int
cs_json_check(const char *text, size_t size_bytes,
              const cs_json_limits *limits)
{
    const char *end = text + size_bytes;
    uint32_t values = 1;
    uint32_t depth = 0;

    for (; text < end; text++) {
        switch (*text) {
        case '"':
            text = skip_string(text, end);
            break;
        case '[':
        case '{':
            depth++;
            values++;
            break;
        case ']':
        case '}':
            if (depth > 0)
                depth--;
            break;
        case ',':
        case ':':
            values++;
            break;
        default:
            break;
        }
        if (values > limits->values || depth > limits->depth)
            return cs_error_set(CS_E_TOO_LARGE,
                                "the text has more than %u values, or more "
                                "than %u levels",
                                limits->values, limits->depth);
    }
    return 0;
}
