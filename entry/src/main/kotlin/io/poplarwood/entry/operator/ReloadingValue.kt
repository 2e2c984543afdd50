package io.poplarwood.entry.operator

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * A value that is loaded from files, and loaded again when one of the files has changed.
 *
 * When the changed files cannot be loaded, such as a half-written file, the previous value stays in use.
 */
internal class ReloadingValue<T : Any>(
    private val files: List<Path>,
    private val onFailure: (Exception) -> Unit = {},
    private val load: () -> T,
) {
    private var fileAttributes = fileAttributes()
    private var value = load()

    /** The current value; checks the files for changes first. */
    @Synchronized
    fun get(): T {
        val currentAttributes = fileAttributes()
        if (currentAttributes == fileAttributes) return value
        try {
            value = load()
            fileAttributes = currentAttributes
        } catch (e: Exception) {
            onFailure(e)
        }
        return value
    }

    private fun fileAttributes(): List<Any?> = files.flatMap {
        try {
            listOf(Files.getLastModifiedTime(it), Files.size(it))
        } catch (_: IOException) {
            listOf(null)
        }
    }
}
