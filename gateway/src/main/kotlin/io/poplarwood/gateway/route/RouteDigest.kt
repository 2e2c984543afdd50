package io.poplarwood.gateway.route

/** Digests of routes and of whole desired states: equal content has equal digests on every machine. */
internal object RouteDigest {
    /** Digest of all fields of [route]. */
    fun of(route: Route): Long {
        val hash = Fnv().add(route.host.lowercase()).add(route.name).add(route.prefix).add(route.kind.name)
            .add(route.timeout.inWholeNanoseconds).add(route.target.inWholeNanoseconds)
            .add(route.priority.toLong()).add(route.maxAttempts.toLong())
        for (share in route.shares) hash.add(share.service.value).add(share.weight.toLong())
        return hash.value()
    }

    /** Digest of [state], its routes included. */
    fun of(state: DesiredState): Long {
        val hash = Fnv().add(state.version).add(state.routes.digest)
        for (service in state.services.values.sortedBy { it.name.value }) {
            hash.add(service.name.value).add(service.healthPath).add(service.maxConnections.toLong())
        }
        val limits = state.limits
        return hash.add(limits.maxHeaderBytes.toLong()).add(limits.maxBodyBytes)
            .add(limits.headerTimeout.inWholeNanoseconds).add(limits.idleTimeout.inWholeNanoseconds).value()
    }

    /** The 64-bit hash FNV-1a, over 16-bit units, with a final mix so that digests can be added up. */
    private class Fnv {
        private var hash = OFFSET

        fun add(text: String): Fnv {
            for (char in text) step(char.code)
            return add(text.length.toLong())
        }

        fun add(number: Long): Fnv {
            for (shift in 0 until Long.SIZE_BITS step Short.SIZE_BITS) step((number ushr shift).toInt() and UNIT_MASK)
            return this
        }

        fun value(): Long {
            val first = (hash xor (hash ushr 33)) * MIX_1
            val second = (first xor (first ushr 33)) * MIX_2
            return second xor (second ushr 33)
        }

        private fun step(unit: Int) {
            hash = (hash xor unit.toLong()) * PRIME
        }
    }

    private const val OFFSET = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val UNIT_MASK = 0xffff
    private const val MIX_1 = -0xae502812aa7333L
    private const val MIX_2 = -0x3b314601e57a13adL
}
