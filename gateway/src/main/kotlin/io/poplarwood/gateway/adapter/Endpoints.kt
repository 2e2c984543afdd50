package io.poplarwood.gateway.adapter

import kotlin.time.Duration

/** The calls that an entry answers itself. */
interface Endpoints {
    /** Whether [target] asks if the entry takes requests. */
    fun asksReadiness(target: String): Boolean

    /** The question in [target]; null when it asks for something else. */
    fun directoryQuestion(target: String): DirectoryQuestion?

    /** The body that names [addresses], which count for [lifetime]. */
    fun directoryAnswer(addresses: List<String>, lifetime: Duration): ByteArray
}

/** Asks which entries a caller in [zone] should use. */
data class DirectoryQuestion(val zone: String?)
