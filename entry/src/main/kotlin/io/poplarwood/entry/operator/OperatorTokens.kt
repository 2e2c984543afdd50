package io.poplarwood.entry.operator

import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest

/**
 * Operators' bearer tokens from a file. Each line holds an operator's name, a space and the token, or only a token,
 * which gets the name `operator`; `#` starts a comment.
 */
internal class OperatorTokens(file: Path) {
    private val records = ReloadingValue(listOf(file)) { Files.readAllLines(file).mapNotNull(::parse) }

    /** Name of the operator whose token is in the header value [authorization]; null when the token is not known. */
    fun operator(authorization: String?): String? {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX, ignoreCase = true)) return null
        val presented = digest(authorization.substring(BEARER_PREFIX.length).trim())
        // Compares all digests, which have equal length, so that the time taken reveals nothing about the tokens.
        var name: String? = null
        for (record in records.get()) if (MessageDigest.isEqual(record.digest, presented)) name = record.name
        return name
    }

    private fun parse(line: String): TokenRecord? {
        val text = line.substringBefore('#').trim()
        if (text.isEmpty()) return null
        val name = text.substringBefore(' ', "operator")
        return TokenRecord(name, digest(text.substringAfter(' ').trim()))
    }

    private fun digest(token: String) = MessageDigest.getInstance("SHA-256").digest(token.toByteArray())

    private class TokenRecord(val name: String, val digest: ByteArray)

    private companion object {
        const val BEARER_PREFIX = "Bearer "
    }
}
