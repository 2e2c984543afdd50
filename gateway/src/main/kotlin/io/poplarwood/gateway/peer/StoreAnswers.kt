package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.Topic
import java.util.EnumSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether the store answers, as far as this entry knows from its own calls and from heartbeats. */
internal class StoreAnswers(private val peers: PeerTable, private val ticker: Ticker) {
    private val unansweredTopics = EnumSet.noneOf(Topic::class.java)

    /** When the store last answered any entry, and when it did so about the desired state. */
    private var answeredAt = -Duration.INFINITE
    private var stateAnsweredAt = -Duration.INFINITE
    private var stateCallFailed = false

    /** Whether the store answered the last call of this entry for each topic. */
    val toThisEntry: Boolean get() = unansweredTopics.isEmpty()

    /** Whether the store answered any entry lately. */
    val lately: Boolean get() = ticker.now() - answeredAt < LATELY

    /**
     * Whether the store is known to answer nobody about the desired state: it did not answer this entry or one that
     * this entry hears of, and none has had an answer lately.
     */
    val away: Boolean
        get() = ticker.now() - stateAnsweredAt > LATELY &&
            (stateCallFailed || peers.live.any { it.hello?.storeAnswers == false })

    /** Records whether the last call about [topic] was answered; returns true when that changed. */
    fun record(topic: Topic, answered: Boolean): Boolean {
        if (answered) arriving(topic)
        return if (answered) unansweredTopics.remove(topic) else unansweredTopics.add(topic)
    }

    /** Records that an answer about [topic] has begun to arrive. */
    fun arriving(topic: Topic) {
        answeredAt = ticker.now()
        if (topic != Topic.DESIRED_STATE) return
        stateAnsweredAt = answeredAt
        stateCallFailed = false
    }

    /** Records that a call about [topic] failed. */
    fun failed(topic: Topic) {
        if (topic == Topic.DESIRED_STATE) stateCallFailed = true
    }

    /** Takes from [hello] when the store answered its sender; [sentAt] is when it was sent, null if that is unknown. */
    fun heard(hello: PeerMessage.Hello, sentAt: Duration?) {
        val reading = hello.readingMs > 0
        val age = if (reading) 0 else minOf(hello.confirmedMs, hello.stateConfirmedMs)
        answeredAt = maxOf(answeredAt, (sentAt ?: ticker.now()) - age.milliseconds)
        if (sentAt == null) return
        val stateAge = if (reading) 0 else hello.stateConfirmedMs
        stateAnsweredAt = maxOf(stateAnsweredAt, sentAt - stateAge.milliseconds)
    }

    private companion object {
        /** A store that did not answer any entry for this long counts as unavailable to all. */
        val LATELY = 1.seconds
    }
}
