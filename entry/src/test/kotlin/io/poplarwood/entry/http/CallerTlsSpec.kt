package io.poplarwood.entry.http

import io.poplarwood.entry.settings.HttpSettings
import io.poplarwood.entry.settings.TlsFiles
import io.poplarwood.entry.support.Certificates
import io.poplarwood.entry.support.ServerFixture
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

internal class CallerTlsSpec {
    @TempDir
    lateinit var directory: Path

    @Nested
    inner class `a callers' listener with TLS files` {
        /** Guards against a listener that serves plain HTTP, or nothing, although its settings have TLS files. */
        @Test
        fun `serves callers over TLS and rejects plain HTTP`() {
            val files = TlsFiles(directory.resolve("key.pem").toString(), directory.resolve("cert.pem").toString())
            Certificates.write(files)
            val answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            ServerFixture(HttpSettings(tls = files), serve = {
                readHead()
                send(answer)
            }).use { fixture ->
                Certificates.trustingAll.createSocket("127.0.0.1", fixture.server.port).use {
                    it.getOutputStream().write(REQUEST.toByteArray())
                    assertEquals("HTTP/1.1 200", it.getInputStream().bufferedReader().readLine().trim())
                }
                assertFalse(fixture.caller().use { it.send(REQUEST).readToEnd() }.startsWith("HTTP/"))
            }
        }
    }

    private companion object {
        const val REQUEST = "GET /a HTTP/1.1\r\nHost: counter\r\n\r\n"
    }
}
