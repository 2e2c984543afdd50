package io.poplarwood.entry.log

import org.slf4j.event.Level

/**
 * Everything the entry logs; docs/events.md lists it. Numbers 1000 to 1999 are the data path, 2000 to 2999
 * configuration, 3000 to 3999 membership and peers, 4000 to 4999 upstreams, 5000 to 5999 lifecycle and settings.
 *
 * @property number stands for the event for good; it is not used again when the event goes
 * @property fields names of the values that each record carries
 */
enum class LogEvent(val number: Int, val level: Level, val meaning: String, vararg val fields: String) {
    LISTENING(1001, Level.INFO, "the callers' listener accepts connections", "host", "port"),
    ANSWER_CUT(1002, Level.WARN, "an upstream's answer ended early after its head had gone to the caller", "upstream"),
    HANDLER_FAILED(1003, Level.ERROR, "a request failed for a reason that has no type", "requestId", "error"),
    CONNECTION_SILENT(4001, Level.WARN, "a connection went silent while a fresh one works; it was closed", "upstream"),
    WARMED_UP(5001, Level.INFO, "the request path was exercised against itself", "requests", "tookMs"),
    DRAIN_STARTED(5002, Level.INFO, "a planned stop began", "inFlight", "limitMs"),
    DRAIN_ENDED(5003, Level.INFO, "a planned stop ended", "inFlight", "tookMs"),
    TLS_FILES_BAD(5004, Level.WARN, "a listener's TLS files cannot be read; the earlier ones stay", "error"),
    ;

    /** Identifier as it is logged, such as `PW-1001`. */
    val id: String get() = "PW-$number"
}
