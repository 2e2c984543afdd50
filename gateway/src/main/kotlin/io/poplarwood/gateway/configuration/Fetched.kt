package io.poplarwood.gateway.configuration

/** A desired state that was fetched from the entry at the address [peer]. */
internal class Fetched(val configuration: Configuration, val peer: String)
