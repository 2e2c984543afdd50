package io.poplarwood.entry.support

import io.ktor.network.tls.certificates.buildKeyStore
import io.poplarwood.entry.settings.TlsFiles
import java.nio.file.Files
import java.nio.file.Path
import java.security.cert.X509Certificate
import java.util.Base64
import javax.net.ssl.SSLContext
import javax.net.ssl.SSLSocketFactory
import javax.net.ssl.X509TrustManager

/** Self-signed certificates for listeners under test. */
internal object Certificates {
    /** Creates TLS sockets that accept any certificate. */
    val trustingAll: SSLSocketFactory =
        SSLContext.getInstance("TLS").apply { init(null, arrayOf(TrustAll), null) }.socketFactory

    /** Generates a key and its certificate, writes both to [files] and returns the certificate. */
    fun write(files: TlsFiles): X509Certificate {
        val store = buildKeyStore { certificate("a") { password = "p" } }
        Files.writeString(Path.of(files.key), pem("PRIVATE KEY", store.getKey("a", "p".toCharArray()).encoded))
        Files.writeString(Path.of(files.certificate), pem("CERTIFICATE", store.getCertificate("a").encoded))
        return store.getCertificate("a") as X509Certificate
    }

    private fun pem(kind: String, bytes: ByteArray) =
        "-----BEGIN $kind-----\n${Base64.getMimeEncoder().encodeToString(bytes)}\n-----END $kind-----\n"

    private object TrustAll : X509TrustManager {
        override fun checkClientTrusted(chain: Array<X509Certificate>, type: String) = Unit

        override fun checkServerTrusted(chain: Array<X509Certificate>, type: String) = Unit

        override fun getAcceptedIssuers(): Array<X509Certificate> = emptyArray()
    }
}
