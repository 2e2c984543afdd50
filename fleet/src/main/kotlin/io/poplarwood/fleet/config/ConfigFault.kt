package io.poplarwood.fleet.config

/**
 * One validation error of a document.
 *
 * @property path JSON path of the invalid value
 * @property found the invalid value
 * @property allowed description of valid values
 */
data class ConfigFault(val kind: ConfigFaultKind, val path: String, val found: String, val allowed: String)
