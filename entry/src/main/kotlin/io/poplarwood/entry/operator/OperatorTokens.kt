package io.poplarwood.entry.operator

import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest

/** Operators' bearer tokens from a file: one a line, after the operator's name and a space; `#` starts a comment. */
internal class OperatorTokens(file: Path) {
    private val entries = ReloadingValue(listOf(file)) { Files.readAllLines(file).mapNotNull(::parse) }

    /** Name of the operator whose token is in the header [authorization], or null. */
    fun operator(authorization: String?): String? {
        if (authorization == null || !authorization.startsWith(SCHEME, ignoreCase = true)) return null
        val given = digest(authorization.substring(SCHEME.length).trim())
        // Every token is compared, and digests have one length, so that the time tells nothing about the tokens.
        var name: String? = null
        for (entry in entries.get()) if (MessageDigest.isEqual(entry.digest, given)) name = entry.name
        return name
    }

    private fun parse(line: String): Entry? {
        val text = line.substringBefore('#').trim()
        if (text.isEmpty()) return null
        val name = text.substringBefore(' ', "operator")
        return Entry(name, digest(text.substringAfter(' ').trim()))
    }

    private fun digest(token: String) = MessageDigest.getInstance("SHA-256").digest(token.toByteArray())

    private class Entry(val name: String, val digest: ByteArray)

    private companion object {
        const val SCHEME = "Bearer "
    }
}
