package org.parsleymoor.relay.fleet

import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.cache.EngineIncarnation

/** What this instance believes of one endpoint, with the work that it has under way there itself. */
public class EndpointState internal constructor(entry: EndpointEntry, nowMillis: Long) {
    /** The newest entry of the discovery list. */
    public var entry: EndpointEntry = entry
        private set

    /** The start of the engine that [entry] describes. */
    public val incarnation: EngineIncarnation get() = EngineIncarnation(entry.id, entry.startMillis)

    /** When [entry] was received. */
    public var entryReceivedMillis: Long = nowMillis
        private set

    /** When this start of the endpoint was first heard of. */
    public var firstSeenMillis: Long = nowMillis
        private set

    /** When an engine was last asked for its load without answering, by this instance or one of its peers. */
    public var unansweredPollMillis: Long = Long.MIN_VALUE / 2
        internal set

    /** Until when the endpoint counts as cold. */
    public var coldUntilMillis: Long = nowMillis
        private set

    /** Since when the entry is missing after an interruption of the list, or null. */
    public var missingSinceMillis: Long? = null
        internal set

    /** Requests of this instance that the endpoint has not answered completely. */
    public var inFlight: Int = 0
        private set

    /** Prompt tokens of those requests that have not produced their first event. */
    public var tokensInFlight: Long = 0
        private set

    /** The last load that the endpoint reported. */
    public var load: ReportedLoad? = null

    /** When the endpoint last sent anything in response to a request of this instance. */
    public var answeredMillis: Long = Long.MIN_VALUE

    /** When the endpoint last refused a request. */
    public var refusedMillis: Long = Long.MIN_VALUE

    /** The last load that the engine reported to this instance or one of its peers. */
    public var engineLoad: EngineLoad? = null
        private set

    internal val sentPrompts = ArrayDeque<SentPrompt>()

    /** Takes in a newer [load]; returns whether it is newer than the known one. */
    public fun learnLoad(load: EngineLoad): Boolean {
        val newer = load.atMillis > (engineLoad?.atMillis ?: Long.MIN_VALUE)
        if (newer) engineLoad = load
        return newer
    }

    /** Notes a prompt that this instance or a peer has sent to the engine. */
    public fun recordSentPrompt(prompt: SentPrompt) {
        sentPrompts.addLast(prompt)
        while (sentPrompts.size > KEPT_PROMPTS) sentPrompts.removeFirst()
    }

    /** Until when the endpoint is expected to carry out an order, for which it refuses new requests. */
    public var orderedUntilMillis: Long = Long.MIN_VALUE

    internal val health = EndpointHealth()
    private val learnedWeights = HashMap<ModelId, Long>()

    init {
        accept(entry, nowMillis)
    }

    internal fun accept(entry: EndpointEntry, nowMillis: Long) {
        val restarted = entry.startMillis != this.entry.startMillis || entry.address != this.entry.address
        if (restarted) {
            learnedWeights.clear()
            health.reset()
            load = null
            engineLoad = null
            firstSeenMillis = nowMillis
        }
        this.entry = entry
        entryReceivedMillis = nowMillis
        missingSinceMillis = null
        if (entry.coldMillis > 0) becomeCold(entry.coldMillis, nowMillis)
    }

    /** Counts a request with [tokens] prompt tokens that this instance sends here. */
    public fun requestStarted(tokens: Long) {
        inFlight++
        tokensInFlight += tokens
    }

    /** Notes that [tokens] prompt tokens are read, because the first event arrived or the request ended. */
    public fun prefillEnded(tokens: Long) {
        tokensInFlight -= tokens
    }

    /** Counts the end of a request. */
    public fun requestEnded() {
        inFlight--
    }

    /** Notes that the endpoint said it stays cold for [millis]. */
    public fun becomeCold(millis: Long, nowMillis: Long) {
        coldUntilMillis = maxOf(coldUntilMillis, nowMillis + millis)
    }

    /** Whether the endpoint counts as cold at [nowMillis]. */
    public fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    /** Notes that the endpoint answered with [version] of [model]; what a peer read earlier may arrive later. */
    public fun learnWeights(model: ModelId, version: Long) {
        learnedWeights.merge(model, version, ::maxOf)
    }

    /** The newest version of [model] that the endpoint is known to have; versions of a model only increase. */
    public fun weights(model: ModelId): Long? =
        listOfNotNull(entry.weights[model], learnedWeights[model]).maxOrNull()

    /** The newest version of each model that the endpoint is known to have. */
    public val allWeights: Map<ModelId, Long>
        get() = (entry.weights.keys + learnedWeights.keys).associateWith { weights(it) ?: 0 }

    private companion object {
        // More than all instances send to one engine between two reports.
        const val KEPT_PROMPTS = 128
    }
}

/** Prompts that were sent after [sinceMillis], which a report of that time does not show. */
internal fun EndpointState.sentPromptsSince(sinceMillis: Long): List<SentPrompt> =
    sentPrompts.filter { it.atMillis > sinceMillis }

/** Notes that the engine did not answer a question of [askedMillis]. */
public fun EndpointState.recordUnansweredPoll(askedMillis: Long) {
    unansweredPollMillis = maxOf(unansweredPollMillis, askedMillis)
}
