package io.poplarwood.gateway.log

import org.slf4j.event.Level

/**
 * All events that a gateway logs, as listed in docs/gateway-events.md. Numbers 6000 to 6099 are for the lifecycle of
 * the process, 6100 to 6199 for the store and its data, 6200 to 6299 for requests, 6300 to 6399 for upstreams and 6400
 * to 6499 for peers.
 *
 * @property number identifies the event permanently; the number of a removed event is not reused
 * @property message text of the log line
 * @property fields names of the values in each log line, in order
 */
internal enum class GatewayEvent(
    val number: Int,
    val level: Level,
    val message: String,
    vararg val fields: String,
) {
    STARTED(6001, Level.INFO, "the process started", "entry", "zone", "callers", "sinceStartMs"),
    READY(6002, Level.INFO, "the entry is ready", "version", "upstreams", "source", "sinceStartMs"),
    FIRST_ANSWER(6003, Level.INFO, "the first request was answered", "sinceStartMs"),
    STOPPING(6004, Level.INFO, "a planned stop began", "inFlight", "graceMs"),
    STOPPED(6005, Level.INFO, "a planned stop ended", "inFlight", "tookMs"),
    RELOADED(6006, Level.INFO, "changed settings were applied", "bounds", "restartNeeded"),
    RELOAD_FAILED(6008, Level.WARN, "changed settings are invalid; the previous settings stay in effect", "faults"),
    START_FAILED(6009, Level.ERROR, "the process cannot listen at an address and ends", "address", "error"),
    FAILED(6007, Level.ERROR, "a component of the process failed and was restarted", "part", "error"),
    STORE_LOST(6101, Level.WARN, "the store is unavailable", "topic", "error", "knownVersion"),
    STORE_BACK(6102, Level.INFO, "the store is available again", "topic", "awayMs"),
    STATE_IN_FORCE(6103, Level.INFO, "a desired state was applied", "version", "routes", "source", "storeVersion"),
    STATE_UNREADABLE(
        6104,
        Level.WARN,
        "a desired state cannot be parsed; the previous one stays in effect",
        "detail",
        "storeVersion",
    ),
    PEER_FETCH(
        6105,
        Level.INFO,
        "rows of the store were requested from another entry",
        "peer",
        "knownVersion",
        "bytes",
        "tookMs",
        "result",
    ),
    PEER_REPLY(
        6106,
        Level.INFO,
        "rows of the store were sent to other entries",
        "storeVersion",
        "replies",
        "bytes",
        "encodeMs",
        "busy",
    ),
    STATE_FETCHED(
        6107,
        Level.INFO,
        "a change of the desired state was fetched from another entry",
        "peer",
        "fromVersion",
        "storeVersion",
        "routes",
        "bytes",
        "tookMs",
    ),
    STATE_SENT(
        6108,
        Level.INFO,
        "changes of the desired state were sent to other entries",
        "storeVersion",
        "pieces",
        "bytes",
        "busy",
    ),
    STATE_DECODED(6109, Level.INFO, "a desired state of the store was decoded", "storeVersion", "bytes", "tookMs"),
    STATE_ENCODED(
        6110,
        Level.INFO,
        "a change of the desired state was encoded for other entries",
        "fromVersion",
        "storeVersion",
        "bytes",
        "tookMs",
    ),
    FETCH_FAILED(6111, Level.WARN, "another entry did not send a requested piece", "peer", "reason", "tookMs"),
    STORE_SLOW(6117, Level.INFO, "rows of the store took long to arrive", "topic", "tookMs", "result"),
    CONFIGURATION_BEHIND(
        6114,
        Level.WARN,
        "a newer desired state than the one in force has been known for over a second",
        *Fields.LAG,
    ),
    CONFIGURATION_CURRENT(
        6115,
        Level.INFO,
        "no newer desired state than the one in force is known any more",
        *Fields.LAG,
    ),
    ROUTES_OF_UNKNOWN_KIND(
        6112,
        Level.WARN,
        "routes are of an unknown kind; their requests are executed at most once",
        "version",
        "count",
        "routes",
    ),
    ROUTES_UNREADABLE(
        6113,
        Level.WARN,
        "routes cannot be parsed; their requests are refused with status 503",
        "version",
        "count",
        "routes",
    ),
    UPSTREAM_KNOWN(
        6301,
        Level.INFO,
        "an upstream registered",
        "upstream",
        "service",
        "address",
        "draining",
        "storeVersion",
    ),
    UPSTREAM_GONE(6302, Level.INFO, "an upstream was removed", "upstream", "service", "reason", "storeVersion"),
    UPSTREAM_UNREADABLE(6303, Level.WARN, "a registration cannot be parsed; it is ignored", "upstream", "detail"),
    UPSTREAM_STATE(
        6306,
        Level.INFO,
        "the availability of an upstream changed",
        "upstream",
        "state",
        "input",
        "source",
        "failures",
        "forMs",
    ),
    UPSTREAM_LIMIT(
        6307,
        Level.INFO,
        "the rate limit that an upstream names changed",
        "upstream",
        "perSecond",
        "source",
        "ageMs",
    ),
    UPSTREAMS_READ(
        6308,
        Level.INFO,
        "the first registrations were applied",
        "registrations",
        "upstreams",
        "draining",
        "source",
        "storeVersion",
    ),
    ANSWERED(6201, Level.INFO, "a request was answered by an upstream", *Fields.REQUEST),
    REFUSED(6202, Level.INFO, "a request was refused without being run", *Fields.REQUEST),
    UNKNOWN(6203, Level.WARN, "a request may have run, but no response was received", *Fields.REQUEST),
    LEFT(6204, Level.INFO, "a caller disconnected before its response", *Fields.REQUEST),
    LINES_DROPPED(6205, Level.WARN, "log lines about requests were dropped to limit the volume", "count"),
    CRASH_SUSPECT(
        6206,
        Level.WARN,
        "an upstream was lost while it ran a request",
        "fingerprint",
        "upstream",
        "ended",
        "losses",
        "source",
    ),
    CRASH_CLEARED(
        6207,
        Level.INFO,
        "an answer cleared a request under which upstreams were lost",
        "fingerprint",
        "status",
        "losses",
    ),
    CRASH_REFUSED(
        6208,
        Level.WARN,
        "a request was refused because upstreams crashed under it",
        "fingerprint",
        "losses",
    ),
    CRASH_UNREADABLE(
        6209,
        Level.WARN,
        "a record of a refused request cannot be parsed; it is ignored",
        "key",
        "detail",
    ),
    PEER_SEEN(6401, Level.INFO, "another entry was discovered", "peer", "address"),
    PEER_SILENT(6402, Level.WARN, "another entry is silent", "peer", "silentMs"),
    PEER_LEAVING(6403, Level.INFO, "another entry is stopping", "peer"),
    ROLES_CHANGED(6404, Level.INFO, "the entries that accept the zone's callers changed", "zone", "entries", "self"),
    ;

    /** Identifier in the log, such as `PW-6001`. */
    val id: String get() = "PW-$number"

    private object Fields {
        val LAG = arrayOf("behindMs", "storeVersion", "newestVersion", "source", "reason")
        val REQUEST = arrayOf(
            "requestId",
            "route",
            "service",
            "status",
            "reason",
            "tookMs",
            "waitedMs",
            "attempts",
            "trail",
            "version",
            "fingerprint",
        )
    }
}
