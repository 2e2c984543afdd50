package io.poplarwood.peer.forward

import java.io.IOException

/** A body ended before its last chunk. */
class BodyLost : IOException("the body was cut short")
