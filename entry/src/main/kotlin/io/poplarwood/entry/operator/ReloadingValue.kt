package io.poplarwood.entry.operator

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * A value made from files and made again when one of them changes.
 *
 * A change that cannot be read, such as a file half written, leaves the earlier value in force.
 */
internal class ReloadingValue<T : Any>(
    private val files: List<Path>,
    private val onFailure: (Exception) -> Unit = {},
    private val load: () -> T,
) {
    private var fileAttributes = fileAttributes()
    private var value = load()

    /** The value for the files as they are now. */
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
