package io.poplarwood.entry.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import io.poplarwood.api.id.ServiceName
import io.poplarwood.entry.settings.OperatorListener
import io.poplarwood.entry.settings.TlsFiles
import io.poplarwood.entry.support.Certificates
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.nio.file.Files
import java.nio.file.Path
import java.security.cert.X509Certificate
import javax.net.ssl.SSLSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

internal class OperatorServerSpec {
    @TempDir
    private lateinit var directory: Path
    private val backend = FakeBackend()
    private var server: OperatorServer? = null

    @AfterEach
    fun stop() {
        runBlocking { server?.stop() }
    }

    @Nested
    inner class `a request without a valid token` {
        /** Guards against operators' paths that are open to anyone. */
        @Test
        fun `is refused on every path but ready`() {
            start()
            val paths =
                listOf("/v1/classes", "/v1/classes/history", "/v1/status", "/v1/explain/r1", "/metrics", "/none")
            val headers = listOf(null, "Bearer wrong", "Bearer ", "Basic c2VjcmV0", "s3cret", "Bearer ailsa s3cret")
            val statuses = paths.flatMap { path -> headers.map { get(path, it) } }.toSet()
            assertEquals(setOf(401), statuses)
            assertEquals(503, get("/ready", null))
            backend.ready = Readiness(true)
            assertEquals(200, get("/ready", null))
        }

        /** Guards against a token that stays valid after it was removed from the file. */
        @Test
        fun `is refused once the token has been removed from the file`() {
            start()
            assertEquals(200, get("/v1/status", "Bearer s3cret"))
            Files.writeString(directory.resolve("tokens"), "ailsa another-token\n")
            assertEquals(401, get("/v1/status", "Bearer s3cret"))
            assertEquals(200, get("/v1/status", "Bearer another-token"))
        }
    }

    @Nested
    inner class `a change of classes` {
        /** Guards against a change whose author or expected version is lost. */
        @Test
        fun `reaches the backend with its author and returns a typed outcome`() {
            val text = Files.readString(Path.of("../samples/counter.jsonc"))
            val results = client { c -> listOf(3L, 2L).map { c.change(ServiceName("counter"), text, it, wait = true) } }
            assertEquals(Ok(ChangeOutcome.Accepted(4, 9, everywhere = true)), results[0])
            val conflict = assertIs<ChangeOutcome.Conflict>((results[1]).component1())
            assertEquals(3, conflict.winner?.version)
            assertEquals(listOf("ailsa", "ailsa"), backend.requests.map { it.operatorName })
        }

        /** Guards against a document that is stored under another service's name. */
        @Test
        fun `is refused when the document is for another service or cannot be parsed`() {
            val text = Files.readString(Path.of("../samples/counter.jsonc"))
            val other = client { it.change(ServiceName("pedidos"), text, 3, wait = false) }
            assertEquals(400, assertIs<OperatorFailure.Refused>(other.getError()).status)
            val broken = client { it.change(ServiceName("counter"), "{", 3, wait = false) }
            assertEquals(400, assertIs<OperatorFailure.Refused>(broken.getError()).status)
            assertEquals(emptyList(), backend.requests)
        }
    }

    @Nested
    inner class `the client` {
        /** Guards against a command that fails because the first entry is down. */
        @Test
        fun `tries the next entry when one does not respond`() {
            val closedAddress = "127.0.0.1:${ServerSocket(0).use { it.localPort }}"
            start()
            val status = runBlocking { OperatorClient(listOf(closedAddress, address()), TOKEN).use { it.status() } }
            assertEquals("e1", status.component1()?.entry)
            val none = runBlocking { OperatorClient(listOf(closedAddress), TOKEN).use { it.automation(true) } }
            assertEquals(Err(OperatorFailure.Unreachable(listOf(closedAddress))), none)
        }

        /** Guards against failures that a command cannot distinguish. */
        @Test
        fun `distinguishes a missing record from an unavailable store`() {
            assertEquals("answered", client { it.explain("r1") }.component1()?.outcome)
            assertEquals(404, assertIs<OperatorFailure.Refused>(client { it.explain("r2") }.getError()).status)
            assertEquals(503, assertIs<OperatorFailure.Refused>(client { it.history() }.getError()).status)
        }
    }

    @Nested
    inner class `TLS` {
        /** Guards against a renewed certificate that needs a restart, and against a bad file that ends service. */
        @Test
        fun `uses new files for new connections and keeps the old ones when the new ones cannot be loaded`() {
            val files = TlsFiles(directory.resolve("key.pem").toString(), directory.resolve("cert.pem").toString())
            val first = Certificates.write(files)
            start(files)
            assertEquals(first, presentedCertificate())
            val second = Certificates.write(files)
            assertEquals(second, presentedCertificate())
            Files.writeString(Path.of(files.certificate), "half a cert")
            assertEquals(second, presentedCertificate())
        }
    }

    private fun start(tls: TlsFiles? = null) {
        Files.writeString(directory.resolve("tokens"), "# operators\nailsa $TOKEN\n")
        val listener = OperatorListener("127.0.0.1:0", directory.resolve("tokens").toString(), tls)
        server = OperatorServer(listener, backend).also { runBlocking { it.start() } }
    }

    private fun <T> client(request: suspend (OperatorClient) -> T): T {
        if (server == null) start()
        return OperatorClient(listOf(address()), TOKEN).use { runBlocking { request(it) } }
    }

    private fun address() = "127.0.0.1:${server?.port}"

    private fun get(path: String, authorization: String?): Int {
        val request = HttpRequest.newBuilder(URI("http://${address()}$path"))
        if (authorization != null) request.header("Authorization", authorization)
        return HttpClient.newHttpClient().send(request.build(), BodyHandlers.discarding()).statusCode()
    }

    private fun presentedCertificate(): X509Certificate {
        val port = checkNotNull(server).port
        return (Certificates.trustingAll.createSocket("127.0.0.1", port) as SSLSocket).use {
            it.startHandshake()
            it.session.peerCertificates.first() as X509Certificate
        }
    }

    private companion object {
        const val TOKEN = "s3cret"
    }
}
