package io.poplarwood.entry.settings

/**
 * One fault in a settings file or a service document.
 *
 * @property path JSON path of the value
 * @property found the value found there, or a description of it
 * @property allowed description of the values allowed there
 */
data class SettingsFault(val path: String, val found: String, val allowed: String) {
    override fun toString(): String = "$path: found $found; allowed: $allowed"
}
