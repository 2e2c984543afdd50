package io.poplarwood.bench.api

import kotlinx.serialization.Serializable

/** A table of figures; [columns] name the values of each row and carry their units. */
@Serializable
data class BenchTable(val title: String, val columns: List<String>, val rows: List<BenchRow>)
