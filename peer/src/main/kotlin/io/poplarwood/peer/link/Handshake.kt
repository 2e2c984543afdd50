package io.poplarwood.peer.link

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.random.RandomSource
import io.poplarwood.fleet.message.Peer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Mutual challenge-response authentication: both sides prove that they hold the shared secret, without sending it.
 *
 * A proof is an HMAC over the sender's role, the protocol version, both peers and both challenges, so that it can be
 * neither replayed nor reflected.
 */
internal class Handshake(
    private val secret: ByteArray,
    private val versions: IntRange,
    private val self: () -> Peer,
    private val admit: (Peer) -> Boolean,
    private val random: RandomSource,
) {
    /** Runs the dialling side of the handshake; returns the accepting peer. */
    suspend fun dial(connection: FrameConnection): Result<Peer, Rejection> {
        val hello = LinkFrame.Hello(versions.first, versions.last, self(), challenge())
        connection.write(hello)
        return when (val frame = connection.read()) {
            is LinkFrame.Challenge -> answerChallenge(connection, hello, frame)
            is LinkFrame.Refused -> Err(frame.rejection)
            else -> Err(connection.fault ?: Rejection.MALFORMED)
        }
    }

    private suspend fun answerChallenge(
        connection: FrameConnection,
        hello: LinkFrame.Hello,
        reply: LinkFrame.Challenge,
    ): Result<Peer, Rejection> {
        val proofInput = ProofInput(reply.version, hello.peer, reply.peer, hello.challenge, reply.challenge)
        val rejection = when {
            reply.version !in versions -> Rejection.VERSION
            !MessageDigest.isEqual(reply.proof, proof(ACCEPTOR_ROLE, proofInput)) -> Rejection.UNAUTHENTICATED
            !admit(reply.peer) -> Rejection.UNKNOWN_SENDER
            else -> null
        }
        if (rejection != null) return Err(rejection)
        connection.write(LinkFrame.Proof(proof(DIALLER_ROLE, proofInput)))
        return when (val frame = connection.read()) {
            is LinkFrame.Welcome -> Ok(reply.peer)
            is LinkFrame.Refused -> Err(frame.rejection)
            else -> Err(connection.fault ?: Rejection.MALFORMED)
        }
    }

    /** Runs the accepting side of the handshake; returns the dialling peer. */
    suspend fun accept(connection: FrameConnection): Result<Peer, Rejection> {
        val hello = connection.read() as? LinkFrame.Hello ?: return Err(connection.fault ?: Rejection.MALFORMED)
        val version = minOf(hello.newest, versions.last)
        val rejection = when {
            version < maxOf(hello.oldest, versions.first) -> Rejection.VERSION
            hello.challenge.size != CHALLENGE_BYTES -> Rejection.MALFORMED
            else -> authenticate(connection, hello, version)
        }
        if (rejection != null) {
            connection.write(LinkFrame.Refused(rejection))
            return Err(rejection)
        }
        connection.write(LinkFrame.Welcome)
        return Ok(hello.peer)
    }

    /** Challenges the dialling peer; returns why that peer is rejected, or null when authenticated and admitted. */
    private suspend fun authenticate(connection: FrameConnection, hello: LinkFrame.Hello, version: Int): Rejection? {
        val acceptor = self()
        val acceptorChallenge = challenge()
        val proofInput = ProofInput(version, hello.peer, acceptor, hello.challenge, acceptorChallenge)
        connection.write(LinkFrame.Challenge(version, acceptor, acceptorChallenge, proof(ACCEPTOR_ROLE, proofInput)))
        val reply = connection.read() as? LinkFrame.Proof
        return when {
            reply == null -> connection.fault ?: Rejection.UNAUTHENTICATED
            !MessageDigest.isEqual(reply.proof, proof(DIALLER_ROLE, proofInput)) -> Rejection.UNAUTHENTICATED
            !admit(hello.peer) -> Rejection.UNKNOWN_SENDER
            else -> null
        }
    }

    private class ProofInput(
        val version: Int,
        val dialler: Peer,
        val acceptor: Peer,
        val diallerChallenge: ByteArray,
        val acceptorChallenge: ByteArray,
    )

    private fun proof(role: String, proofInput: ProofInput): ByteArray {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(SecretKeySpec(secret, MAC_ALGORITHM))
        val prefix = "$role\u0000${proofInput.version}\u0000${proofInput.dialler}\u0000${proofInput.acceptor}\u0000"
        mac.update(prefix.encodeToByteArray())
        mac.update(proofInput.diallerChallenge)
        mac.update(proofInput.acceptorChallenge)
        return mac.doFinal()
    }

    private fun challenge(): ByteArray = ByteArray(CHALLENGE_BYTES) { random.nextLong().toByte() }

    private companion object {
        const val CHALLENGE_BYTES = 32
        const val MAC_ALGORITHM = "HmacSHA256"
        const val DIALLER_ROLE = "dial"
        const val ACCEPTOR_ROLE = "accept"
    }
}
