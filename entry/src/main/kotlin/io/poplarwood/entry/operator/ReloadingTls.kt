package io.poplarwood.entry.operator

import io.netty.channel.Channel
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.poplarwood.entry.settings.TlsFiles
import java.nio.file.Path

/**
 * TLS of a listener from PEM files. Each new connection uses the files as they are when the connection is accepted.
 *
 * @param onFailure called when changed files cannot be loaded; the previous ones stay in use
 */
class ReloadingTls(files: TlsFiles, onFailure: (Exception) -> Unit = {}) {
    private val key = Path.of(files.key)
    private val certificate = Path.of(files.certificate)
    private val context = ReloadingValue(listOf(key, certificate), onFailure) { load() }

    /** Adds TLS as the first handler of [channel]. */
    fun secure(channel: Channel) {
        channel.pipeline().addFirst(context.get().newHandler(channel.alloc()))
    }

    private fun load(): SslContext = SslContextBuilder.forServer(certificate.toFile(), key.toFile()).build()
}
