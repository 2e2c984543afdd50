package io.poplarwood.entry.settings

/**
 * One fault of a settings file or a service document.
 *
 * @property path JSON path of the value
 * @property found what is there
 * @property allowed what may be there
 */
data class SettingsFault(val path: String, val found: String, val allowed: String) {
    override fun toString(): String = "$path: found $found; allowed: $allowed"
}
