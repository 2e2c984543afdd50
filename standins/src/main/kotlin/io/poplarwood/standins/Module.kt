package io.poplarwood.standins

internal const val MODULE = "standins"
