package io.poplarwood.fleet

internal const val MODULE = "fleet"
