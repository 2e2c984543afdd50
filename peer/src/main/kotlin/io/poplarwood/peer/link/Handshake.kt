package io.poplarwood.peer.link

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.random.Randomness
import io.poplarwood.fleet.message.Peer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * The handshake: both sides prove that they hold the shared secret, without sending it.
 *
 * The proof covers both challenges, both names and the version, and differs by role, so neither can be replayed nor
 * reflected.
 */
internal class Handshake(
    private val secret: ByteArray,
    private val versions: IntRange,
    private val self: () -> Peer,
    private val admit: (Peer) -> Boolean,
    private val random: Randomness,
) {
    /** Runs the dialling side over [wire]; returns who answered. */
    suspend fun dial(wire: FrameConnection): Result<Peer, Rejection> {
        val hello = LinkFrame.Hello(versions.first, versions.last, self(), challenge())
        wire.write(hello)
        return when (val frame = wire.read()) {
            is LinkFrame.Challenge -> prove(wire, hello, frame)
            is LinkFrame.Refused -> Err(frame.rejection)
            else -> Err(wire.fault ?: Rejection.MALFORMED)
        }
    }

    private suspend fun prove(
        wire: FrameConnection,
        hello: LinkFrame.Hello,
        answer: LinkFrame.Challenge,
    ): Result<Peer, Rejection> {
        val terms = Terms(answer.version, hello.peer, answer.peer, hello.challenge, answer.challenge)
        val refusal = when {
            answer.version !in versions -> Rejection.VERSION
            !MessageDigest.isEqual(answer.proof, proof(ACCEPTOR, terms)) -> Rejection.UNAUTHENTICATED
            !admit(answer.peer) -> Rejection.UNKNOWN_SENDER
            else -> null
        }
        if (refusal != null) return Err(refusal)
        wire.write(LinkFrame.Proof(proof(DIALLER, terms)))
        return when (val frame = wire.read()) {
            is LinkFrame.Welcome -> Ok(answer.peer)
            is LinkFrame.Refused -> Err(frame.rejection)
            else -> Err(wire.fault ?: Rejection.MALFORMED)
        }
    }

    /** Runs the accepting side over [wire]; returns who dialled. */
    suspend fun accept(wire: FrameConnection): Result<Peer, Rejection> {
        val hello = wire.read() as? LinkFrame.Hello ?: return Err(wire.fault ?: Rejection.MALFORMED)
        val version = minOf(hello.newest, versions.last)
        val refusal = when {
            version < maxOf(hello.oldest, versions.first) -> Rejection.VERSION
            hello.challenge.size != CHALLENGE_BYTES -> Rejection.MALFORMED
            else -> check(wire, hello, version)
        }
        if (refusal != null) {
            wire.write(LinkFrame.Refused(refusal))
            return Err(refusal)
        }
        wire.write(LinkFrame.Welcome)
        return Ok(hello.peer)
    }

    /** Challenges the dialling side; returns why it is refused, or null. */
    private suspend fun check(wire: FrameConnection, hello: LinkFrame.Hello, version: Int): Rejection? {
        val me = self()
        val mine = challenge()
        val terms = Terms(version, hello.peer, me, hello.challenge, mine)
        wire.write(LinkFrame.Challenge(version, me, mine, proof(ACCEPTOR, terms)))
        val answer = wire.read() as? LinkFrame.Proof
        return when {
            answer == null -> wire.fault ?: Rejection.UNAUTHENTICATED
            !MessageDigest.isEqual(answer.proof, proof(DIALLER, terms)) -> Rejection.UNAUTHENTICATED
            !admit(hello.peer) -> Rejection.UNKNOWN_SENDER
            else -> null
        }
    }

    private class Terms(
        val version: Int,
        val dialler: Peer,
        val acceptor: Peer,
        val diallerChallenge: ByteArray,
        val acceptorChallenge: ByteArray,
    )

    private fun proof(role: String, terms: Terms): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        val names = "$role\u0000${terms.version}\u0000${terms.dialler}\u0000${terms.acceptor}\u0000"
        mac.update(names.encodeToByteArray())
        mac.update(terms.diallerChallenge)
        mac.update(terms.acceptorChallenge)
        return mac.doFinal()
    }

    private fun challenge(): ByteArray = ByteArray(CHALLENGE_BYTES) { random.nextLong().toByte() }

    private companion object {
        const val CHALLENGE_BYTES = 32
        const val ALGORITHM = "HmacSHA256"
        const val DIALLER = "dial"
        const val ACCEPTOR = "accept"
    }
}
