package io.poplarwood.fleet.config

/**
 * One fault of a document.
 *
 * @property path JSON path of the value
 * @property found what is there
 * @property allowed what may be there
 */
data class ConfigFault(val kind: ConfigFaultKind, val path: String, val found: String, val allowed: String)
