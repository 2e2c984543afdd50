package io.poplarwood.entry.settings

/**
 * Finds keys that occur twice in one JSON object, which the JSON library accepts silently.
 *
 * [text] must be well-formed JSON with comments, so that only strings, comments and brackets need to be recognized.
 */
internal class DuplicateKeyCheck(private val text: String) {
    private val found = mutableListOf<SettingsFault>()
    private val openFrames = ArrayDeque<Frame>()
    private var position = 0

    fun faults(): List<SettingsFault> {
        while (position < text.length) scanNext()
        return found
    }

    private fun scanNext() {
        val frame = openFrames.lastOrNull()
        when (text[position]) {
            '"' -> scanString(frame)
            '/' -> scanComment()
            '{' -> openFrames.addLast(Frame(pathOf(frame), isObject = true))
            '[' -> openFrames.addLast(Frame(pathOf(frame), isObject = false))
            '}', ']' -> openFrames.removeLastOrNull()
            ',' -> frame?.nextElement()
            ':' -> frame?.expectsKey = false
        }
        position++
    }

    private fun scanString(frame: Frame?) {
        val start = ++position
        while (text[position] != '"') position += if (text[position] == '\\') 2 else 1
        if (frame == null || !frame.isObject || !frame.expectsKey) return
        val key = text.substring(start, position)
        if (!frame.keys.add(key)) {
            found +=
                SettingsFault("${frame.path}.$key", "a second value", "one value for each key")
        }
        frame.key = key
    }

    private fun scanComment() {
        val end = if (text[position + 1] == '*') text.indexOf("*/", position + 2) + 1 else text.indexOf('\n', position)
        position = if (end <= 0) text.length else end
    }

    private fun pathOf(frame: Frame?): String = when {
        frame == null -> "$"
        frame.isObject -> "${frame.path}.${frame.key}"
        else -> "${frame.path}[${frame.index}]"
    }

    private class Frame(val path: String, val isObject: Boolean) {
        val keys = HashSet<String>()
        var key = ""
        var index = 0
        var expectsKey = true

        fun nextElement() {
            index++
            expectsKey = true
        }
    }
}
