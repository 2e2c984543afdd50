package io.poplarwood.decision.routing

/** A set of row indices with constant-time insertion, removal and access by position. */
internal class RowSet {
    private var rows = IntArray(INITIAL_CAPACITY)
    private var position = IntArray(INITIAL_CAPACITY) { -1 }

    var size = 0
        private set

    /** The row at position [at], below [size]; positions change when rows are removed. */
    operator fun get(at: Int): Int = rows[at]

    operator fun contains(row: Int): Boolean = row < position.size && position[row] >= 0

    /** Adds [row] when [present] is true and removes it otherwise. */
    fun set(row: Int, present: Boolean) {
        if (row >= position.size) grow(row * 2)
        val at = position[row]
        if (present == at >= 0) return
        if (present) {
            position[row] = size
            rows[size++] = row
        } else {
            val last = rows[--size]
            rows[at] = last
            position[last] = at
            position[row] = -1
        }
    }

    private fun grow(to: Int) {
        val old = position
        rows = rows.copyOf(to)
        position = IntArray(to) { if (it < old.size) old[it] else -1 }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
    }
}
