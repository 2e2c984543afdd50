package io.poplarwood.entry.forward

import io.poplarwood.entry.support.RawCaller
import io.poplarwood.entry.support.ServerFixture
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals

class LateUpstreamAnswerSpec {
    private fun bodyOf(caller: RawCaller, path: String) =
        caller.send("GET $path HTTP/1.1\r\nHost: counter\r\n\r\n").answer().body

    /** Guards against the late second answer to one request that passes as the answer to the next. */
    @Tag("known-red")
    @Nested
    inner class `behind a request that the upstream answers twice` {
        @Test
        fun `a request gets its own answer`() {
            ServerFixture(serve = {
                var late = ""
                while (true) {
                    val path = (readHead() ?: break).substringAfter(' ').substringBefore(' ')
                    val answer = "HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n$path"
                    send(late + answer)
                    late = answer
                }
            }).use { fixture ->
                val bodies = fixture.caller().use { caller -> listOf("/a", "/b").map { bodyOf(caller, it) } }
                assertEquals(listOf("/a", "/b"), bodies)
            }
        }
    }
}
