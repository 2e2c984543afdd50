package io.poplarwood.peer

internal const val MODULE = "peer"
