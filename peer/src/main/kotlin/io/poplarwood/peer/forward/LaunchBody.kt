package io.poplarwood.peer.forward

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.launch

/** Runs [fill], which sends to [out], in a new coroutine and then closes [out], with the exception if [fill] failed. */
internal fun CoroutineScope.launchBody(out: SendChannel<ByteArray>, fill: suspend () -> Unit) {
    launch {
        try {
            fill()
            out.close()
        } catch (e: CancellationException) {
            out.close(BodyTruncatedException())
            throw e
        } catch (e: Exception) {
            out.close(e)
        }
    }
}
