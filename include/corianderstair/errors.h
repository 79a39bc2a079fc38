/**
 * @file errors.h
 * Result codes, and the last error message of the thread.
 *
 * A function that can fail returns 0 or a negative code of cs_code. The
 * message of a failure is retained per thread until the next failure.
 * docs/ERRORS.md describes the codes.
 */
#ifndef CS_ERRORS_H
#define CS_ERRORS_H

/**
 * Result codes. The numbers, and the names that cs_error_name returns, are
 * part of the external interface.
 */
typedef enum {
    CS_OK = 0,
    CS_E_INVALID = -100,   /**< a value is out of range or of wrong type */
    CS_E_JSON = -101,      /**< the text is not valid JSON */
    CS_E_FIELD = -102,     /**< a field is unknown or missing */
    CS_E_TOO_LARGE = -103, /**< a body or header exceeds its limit */
    CS_E_SETTING = -104,   /**< a flag or environment variable is wrong */
    CS_E_METHOD = -105,    /**< the path does not support the method */
    CS_E_NOT_FOUND = -200, /**< no such resource */
    CS_E_CONFLICT = -201,  /**< If-Match failed, or a concurrent write */
    CS_E_EXISTS = -202,    /**< the resource exists already */
    CS_E_TOO_OLD = -203,   /**< the version is too old; list again */
    CS_E_IN_USE = -204,    /**< another resource refers to it */
    CS_E_CANCELLED = -205, /**< cancelled before it was stored */
    CS_E_GUARANTEE = -300, /**< the guarantee cannot be honoured */
    CS_E_NEVER_RUNNABLE = -301, /**< the job can never run */
    CS_E_NO_SPACE = -302,       /**< no sufficient free capacity at present */
    CS_E_STORE_UNAVAILABLE = -400, /**< the store is unreachable */
    CS_E_OUTCOME_UNKNOWN = -401,   /**< the outcome of a write is unknown */
    CS_E_FENCED = -402,            /**< rejected: a newer epoch exists */
    CS_E_NOT_HOLDER = -403,        /**< this process does not hold the cell */
    CS_E_TIMEOUT = -404,           /**< the deadline passed */
    CS_E_CONNECT = -405,           /**< no connection; nothing was sent */
    CS_E_CUT = -406,               /**< connection lost before the response */
    CS_E_OVERLOAD = -500,          /**< a queue or limit is full */
    CS_E_NO_ENDPOINT = -501,       /**< no endpoint accepts work */
    CS_E_DRAINING = -502,          /**< this process is shutting down */
    CS_E_DUPLICATE = -503,         /**< the request id was used before */
    CS_E_ENDPOINT = -504,          /**< the endpoint failed the request */
    CS_E_WORKER = -600,            /**< a worker refused or failed */
    CS_E_EXPIRED = -601,           /**< a lease expired */
    CS_E_SYSTEM = -900 /**< a call of the system or a library failed */
} cs_code;

/**
 * Sets the thread's last error message.
 * @param code the code to return
 * @param fmt printf format of the message, which is truncated to 511 bytes
 * @return code
 */
int cs_error_set(int code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/**
 * @return the last message of this thread, empty if there was none; valid
 *         until the next failure
 */
const char *cs_error_last(void);

/** @return the stable name of a code, such as "conflict"; else "unnamed" */
const char *cs_error_name(int code);

#endif
