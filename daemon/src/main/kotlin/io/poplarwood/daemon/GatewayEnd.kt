package io.poplarwood.daemon

/** How the run of a gateway ended. */
enum class GatewayEnd {
    /** A planned stop was completed. */
    STOPPED,

    /** The settings are invalid; nothing was started. */
    BAD_SETTINGS,

    /** An address could not be listened at. */
    START_FAILED,
}
