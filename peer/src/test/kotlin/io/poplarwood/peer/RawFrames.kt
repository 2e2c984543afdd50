package io.poplarwood.peer

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.fleet.message.Peer
import io.poplarwood.peer.link.FrameCodec
import io.poplarwood.peer.link.LinkFrame

/** Encoded frames of a dialling peer that does not hold the secret. */
internal object RawFrames {
    private val stranger = Peer(EntryRef(EntryId("x"), Incarnation(1, 1)), "127.0.0.1:1")

    fun helloAndWrongProof(): List<ByteArray> = listOf(
        FrameCodec.encode(LinkFrame.Hello(1, 2, stranger, ByteArray(32))),
        FrameCodec.encode(LinkFrame.Proof(ByteArray(32))),
    )
}
