package io.poplarwood.entry.operator

import io.netty.channel.Channel
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.poplarwood.entry.settings.TlsFiles
import java.nio.file.Path

/** TLS of a listener from PEM files; new connections use the files as they are when they connect. */
class ReloadingTls(files: TlsFiles, onFailure: (Exception) -> Unit = {}) {
    private val key = Path.of(files.key)
    private val certificate = Path.of(files.certificate)
    private val context = ReloadingValue(listOf(key, certificate), onFailure) { load() }

    /** Puts TLS in front of everything else on [channel]. */
    fun secure(channel: Channel) {
        channel.pipeline().addFirst(context.get().newHandler(channel.alloc()))
    }

    private fun load(): SslContext = SslContextBuilder.forServer(certificate.toFile(), key.toFile()).build()
}
