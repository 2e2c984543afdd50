package io.poplarwood.peer

import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.peer.link.FrameCodec
import io.poplarwood.peer.link.LinkFrame
import io.poplarwood.peer.message.PeerMessage
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertNotNull

class FrameFuzzSpec {
    @Nested
    inner class `corrupted frames` {
        @Test
        fun `are rejected without an exception`() {
            // A corrupted frame must close its link; an exception from the decoder would end the reader.
            val validFrames = RawFrames.helloAndWrongProof() + listOf(
                FrameCodec.encode(LinkFrame.Message(PeerMessage.Fleet(FleetMessage.ChangePull(9)))),
                FrameCodec.encode(LinkFrame.Message(PeerMessage.BodyChunk(1, true, 0, ByteArray(40), false))),
                FrameCodec.encode(LinkFrame.Heartbeat),
            )
            validFrames.forEach { assertNotNull(FrameCodec.decode(it)) }
            val random = SplitMix(21)
            repeat(40_000) {
                val bytes = validFrames[random.nextInt(validFrames.size)].copyOf()
                repeat(1 + random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextLong().toByte() }
                FrameCodec.decode(bytes.copyOf(1 + random.nextInt(bytes.size)))
            }
        }
    }
}
