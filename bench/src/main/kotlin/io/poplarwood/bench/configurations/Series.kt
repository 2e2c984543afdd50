package io.poplarwood.bench.configurations

/** Kinds of load on the entries that are judged separately. */
internal enum class Series(val label: String) {
    CALM("no change"),
    LARGE("1,900 routes more, in a row"),
    FREQUENT("a version every 300 ms"),
    RESTART("an entry lost and started during a change"),
    CUT("an entry's link to the store cut for 2 s"),
    FEW("ten of 10,000 routes"),
    COMBINED("all of these at random"),
}
