package io.poplarwood.cli

/** Starts the command line. */
fun main() {
    println("poplarwood")
}
