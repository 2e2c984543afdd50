package io.poplarwood.entry.settings

/**
 * Finds keys that one object has twice, which the JSON library takes without a word.
 *
 * [text] is known to be well-formed JSON with comments, so only strings, comments and brackets need to be told apart.
 */
internal class DuplicateKeyCheck(private val text: String) {
    private val faults = mutableListOf<SettingsFault>()
    private val frames = ArrayDeque<Frame>()
    private var at = 0

    fun find(): List<SettingsFault> {
        while (at < text.length) step()
        return faults
    }

    private fun step() {
        val frame = frames.lastOrNull()
        when (text[at]) {
            '"' -> string(frame)
            '/' -> comment()
            '{' -> frames.addLast(Frame(path(frame), isObject = true))
            '[' -> frames.addLast(Frame(path(frame), isObject = false))
            '}', ']' -> frames.removeLastOrNull()
            ',' -> frame?.next()
            ':' -> frame?.expectsKey = false
        }
        at++
    }

    private fun string(frame: Frame?) {
        val start = ++at
        while (text[at] != '"') at += if (text[at] == '\\') 2 else 1
        if (frame == null || !frame.isObject || !frame.expectsKey) return
        val key = text.substring(start, at)
        if (!frame.keys.add(key)) {
            faults +=
                SettingsFault("${frame.path}.$key", "a second value", "one value for each key")
        }
        frame.key = key
    }

    private fun comment() {
        val end = if (text[at + 1] == '*') text.indexOf("*/", at + 2) + 1 else text.indexOf('\n', at)
        at = if (end <= 0) text.length else end
    }

    private fun path(frame: Frame?): String = when {
        frame == null -> "$"
        frame.isObject -> "${frame.path}.${frame.key}"
        else -> "${frame.path}[${frame.index}]"
    }

    private class Frame(val path: String, val isObject: Boolean) {
        val keys = HashSet<String>()
        var key = ""
        var index = 0
        var expectsKey = true

        fun next() {
            index++
            expectsKey = true
        }
    }
}
