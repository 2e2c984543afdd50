package io.poplarwood.bench

internal const val MODULE = "bench"
