package io.poplarwood.bench.slopes

/** The size within two years, and what one of its cells has of it. */
internal object TargetSize {
    private const val REGIONS = 12.0
    private const val SECONDS_PER_DAY = 86_400.0

    /** Upstreams of one cell. */
    const val UPSTREAMS = 11_000 / REGIONS

    /** Services of one cell. */
    const val SERVICES = 620 / REGIONS

    /** Configuration changes a second in one cell. */
    const val CHANGES_PER_SECOND = 48_000 / REGIONS / SECONDS_PER_DAY

    /** Largest number of entries of a cell that the design allows for. */
    const val ENTRIES = 64.0

    /** Processor time for control, microseconds per second: 3.9% of a core. */
    const val CPU_MICROS = 39_000.0

    /** Bytes for control per second. */
    const val BYTES = 13_000.0

    /** Heap for control, KB. */
    const val HEAP_KB = 32.0 * 1024
}
