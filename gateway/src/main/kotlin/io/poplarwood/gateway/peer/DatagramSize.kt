package io.poplarwood.gateway.peer

/** Bounds and worked-out sizes of datagrams, in bytes; the sizes are upper bounds of what the encoder needs. */
internal object DatagramSize {
    /**
     * Largest datagram. It fits into one packet on every path (IPv6 guarantees 1,280 bytes with headers), so no
     * datagram is lost with one of its fragments, and a link of 7 Mbit/s takes 1.4 ms for it.
     */
    const val MAX_BYTES = 1_200

    /** A message without its names, rows and load. */
    const val MESSAGE_BYTES = 60

    private const val HEARTBEAT_BYTES = 180
    private const val PART_BYTES = 20
    private const val LOAD_BYTES = 9
    private const val LEAVING_BYTES = 11
    private const val LIMIT_BYTES = 64
    private const val ROW_BYTES = 13

    /** CBOR writes a number, or the length of a text, below the first of these in one byte, and so on. */
    private const val ONE_BYTE_END = 24
    private const val TWO_BYTES_END = 0x100
    private const val THREE_BYTES_END = 0x10000
    private const val MAX_BYTES_PER_CHAR = 3
    private const val ASCII_END = 0x80

    /** Size of [text], with its length. */
    fun of(text: String): Int {
        val bytes = if (text.all { it.code < ASCII_END }) text.length else text.length * MAX_BYTES_PER_CHAR
        return ofNumber(bytes) + bytes
    }

    private fun ofNumber(number: Int): Int = ofNumber(number.toLong())

    private fun ofNumber(number: Long): Int = when {
        number < 0 -> 9
        number < ONE_BYTE_END -> 1
        number < TWO_BYTES_END -> 2
        number < THREE_BYTES_END -> 3
        number <= Int.MAX_VALUE -> 5
        else -> 9
    }

    /** Size of [upstream] and the number of requests at it. */
    fun ofInFlight(upstream: String, count: Int): Int = of(upstream) + ofNumber(count)

    fun of(load: UpstreamLoad): Int {
        val leaving = if (load.leavingBorn != null) LEAVING_BYTES else 0
        val numbers = ofNumber(load.inFlight) + ofNumber(load.slowness)
        return LOAD_BYTES + numbers + of(load.upstream) + leaving + if (load.limit != null) LIMIT_BYTES else 0
    }

    fun of(row: ReplicatedRow): Int = ROW_BYTES + of(row.version.toString()) + of(row.key) + (row.value?.size ?: 0)

    /** Size of [hello] without its load. */
    fun of(hello: PeerMessage.Hello): Int {
        val names = of(hello.from) + of(hello.zone) + of(hello.callers) + of(hello.peers)
        val versions = of(hello.stateVersion.toString()) +
            listOfNotNull(
                hello.upstreamVersion,
                hello.coveredVersion,
                hello.unchangedSince,
                hello.stateReceived,
                hello.stateAccepted,
            ).sumOf { of(it.toString()) }
        return HEARTBEAT_BYTES + names + versions + hello.zoneActive.sumOf(::of)
    }

    /** Room for rows or load in a message of [sender]. */
    fun roomIn(sender: String): Int = MAX_BYTES - MESSAGE_BYTES - of(sender)

    /** Room for the upstreams of a part of the load in [room] bytes, when the part names the key [after]. */
    fun roomInPart(room: Int, after: String): Int = room - PART_BYTES - of(after)

    /** [items] in their order, as lists that each need at most [room] bytes; an item that needs more stands alone. */
    fun <T> split(items: List<T>, room: Int, sizeOf: (T) -> Int): List<List<T>> {
        val parts = ArrayList<MutableList<T>>()
        var left = 0
        for (item in items) {
            val size = sizeOf(item)
            if (parts.isEmpty() || size > left) {
                parts += ArrayList<T>()
                left = room
            }
            parts.last() += item
            left -= size
        }
        return parts
    }
}
