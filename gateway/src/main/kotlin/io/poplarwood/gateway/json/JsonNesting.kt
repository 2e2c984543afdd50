package io.poplarwood.gateway.json

/** Bounds the nesting of JSON before it is parsed: parsers that recurse overflow the stack at a few thousand levels. */
object JsonNesting {
    /** The deepest format, the desired state, has seven levels; unknown fields may add some. */
    const val MAX_DEPTH = 64

    /** Whether [text], which may have comments, opens more than [MAX_DEPTH] brackets at any place outside strings. */
    fun exceedsLimit(text: CharSequence): Boolean {
        var depth = 0
        var at = 0
        while (at < text.length) {
            when (text[at]) {
                '"' -> at = endOfString(text, at)
                '/' -> at = endOfComment(text, at)
                '{', '[' -> if (++depth > MAX_DEPTH) return true
                '}', ']' -> depth--
            }
            at++
        }
        return false
    }

    /** Index of the quote that ends the string which begins at [start]; the end of [text] if there is none. */
    private fun endOfString(text: CharSequence, start: Int): Int {
        var at = start + 1
        while (at < text.length && text[at] != '"') at += if (text[at] == '\\') 2 else 1
        return at
    }

    /** Index of the last character of the comment which begins at [start]; [start] if there is no comment. */
    private fun endOfComment(text: CharSequence, start: Int): Int {
        val (end, length) = when {
            text.startsWith("//", start) -> text.indexOf("\n", start) to 1
            text.startsWith("/*", start) -> text.indexOf("*/", start + 2) to 2
            else -> return start
        }
        return if (end < 0) text.length else end + length - 1
    }
}
