package io.poplarwood.gateway.peer

/**
 * The load that is sent with one heartbeat.
 *
 * @property inside the part within the heartbeat; null when the heartbeat has no room
 * @property separate the parts in messages of their own
 */
internal class HeartbeatLoad(val inside: LoadPart?, val separate: List<LoadPart>)
