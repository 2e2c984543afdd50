package io.poplarwood.entry.log

import org.slf4j.event.Level

/**
 * Every event that the entry logs; docs/events.md lists them. Numbers 1000 to 1999 are for the data path, 2000 to 2999
 * for configuration, 3000 to 3999 for membership and peers, 4000 to 4999 for upstreams, 5000 to 5999 for lifecycle and
 * settings.
 *
 * @property number permanent number of the event; the number of a removed event is not reused
 * @property fields names of the values in each record
 */
enum class LogEvent(val number: Int, val level: Level, val message: String, vararg val fields: String) {
    LISTENING(1001, Level.INFO, "the callers' listener accepts connections", "host", "port"),
    ANSWER_CUT(1002, Level.WARN, "an upstream's answer ended early after its head had gone to the caller", "upstream"),
    HANDLER_FAILED(1003, Level.ERROR, "a request failed for a reason that has no type", "requestId", "error"),
    DOCUMENT_IN_FORCE(2001, Level.INFO, "a document came into force at this entry", "service", "version", "sequence"),
    CHANGE_EVERYWHERE(2002, Level.INFO, "a change is in force at every entry that takes work", "sequence", "tookMs"),
    FRESH(2003, Level.INFO, "every accepted change is known here; new work is taken"),
    NOT_FRESH(2004, Level.WARN, "accepted changes may be unknown here; new work is refused"),
    RENAMED(3001, Level.WARN, "the others hold this run for gone; it continues under a new incarnation", "entry"),
    PAUSED(3002, Level.WARN, "this process did not run for a while", "gapMs"),
    CONNECTION_SILENT(4001, Level.WARN, "a connection went silent while a fresh one works; it was closed", "upstream"),
    WARMED_UP(5001, Level.INFO, "the request path was exercised against itself", "requests", "tookMs"),
    DRAIN_STARTED(5002, Level.INFO, "a planned stop began", "inFlight", "limitMs"),
    DRAIN_ENDED(5003, Level.INFO, "a planned stop ended", "inFlight", "tookMs"),
    TLS_FILES_UNREADABLE(5004, Level.WARN, "TLS files cannot be read; the earlier ones stay in use", "error"),
    ;

    /** Identifier in log records, such as `PW-1001`. */
    val id: String get() = "PW-$number"
}
