package org.parsleymoor.relay.fleet

import org.parsleymoor.core.ModelId
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.speed.EndpointSpeed

/** This instance's view of one endpoint, including the requests that it has in flight there. */
public class EndpointState internal constructor(entry: EndpointEntry, nowMillis: Long) {
    /** The newest entry of the endpoint in the discovery list. */
    public var entry: EndpointEntry = entry
        private set

    /** The start of the engine that [entry] belongs to. */
    public val incarnation: EngineIncarnation get() = EngineIncarnation(entry.id, entry.startMillis)

    /** When this instance received [entry]. */
    public var entryReceivedMillis: Long = nowMillis
        private set

    /** When this instance first saw the current start of the endpoint. */
    public var firstSeenMillis: Long = nowMillis
        private set

    /** When the newest unanswered load poll of this instance or a peer was sent. */
    public var unansweredPollMillis: Long = Long.MIN_VALUE / 2
        internal set

    /** When the endpoint stops being cold. */
    public var coldUntilMillis: Long = nowMillis
        private set

    /** When the entry was found missing during or after an outage of the discovery list, or null. */
    public var missingSinceMillis: Long? = null
        internal set

    /** Number of this instance's requests that the endpoint has not answered completely. */
    public var inFlight: Int = 0
        private set

    /** Prompt tokens of the [inFlight] requests that have not produced their first event. */
    public var tokensInFlight: Long = 0
        private set

    /** How long work takes at the endpoint. */
    public val speed: EndpointSpeed = EndpointSpeed()

    /** The last load that the endpoint reported in response headers. */
    public var load: ReportedLoad? = null
        set(value) {
            field = value
            value?.pacePercent?.let { speed.report(it, value.atMillis) }
        }

    /** When the endpoint last sent anything in response to a request of this instance. */
    public var answeredMillis: Long = Long.MIN_VALUE

    /** When the endpoint last refused a request. */
    public var refusedMillis: Long = Long.MIN_VALUE

    /** The newest load that the engine reported to a poll by this instance or a peer. */
    public var engineLoad: EngineLoad? = null
        private set

    internal val sentPrompts = ArrayDeque<SentPrompt>()
    internal val backlog = ReadingBacklog()

    /** Replaces the known engine load if [load] is newer; returns whether it is. */
    public fun learnLoad(load: EngineLoad): Boolean {
        val isNewer = load.atMillis > (engineLoad?.atMillis ?: Long.MIN_VALUE)
        if (isNewer) {
            engineLoad = load
            load.pacePercent?.let { speed.report(it, load.atMillis) }
            backlog.learn(load, sentPrompts)
        }
        return isNewer
    }

    /** Records a prompt that this instance or a peer sent to the engine. */
    public fun recordSentPrompt(prompt: SentPrompt) {
        sentPrompts.addLast(prompt)
        while (sentPrompts.size > MAX_SENT_PROMPTS) sentPrompts.removeFirst()
    }

    /** When the endpoint is expected to finish its order to load weights; until then it refuses new requests. */
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
            speed.reset()
            backlog.reset()
            sentPrompts.clear()
            firstSeenMillis = nowMillis
        }
        this.entry = entry
        entryReceivedMillis = nowMillis
        missingSinceMillis = null
        if (entry.coldMillis > 0) becomeCold(entry.coldMillis, nowMillis)
    }

    /** Counts a request with [tokens] prompt tokens that this instance sends to the endpoint. */
    public fun requestStarted(tokens: Long) {
        inFlight++
        tokensInFlight += tokens
    }

    /** Subtracts the [tokens] of a prompt whose first event arrived or whose request ended. */
    public fun prefillEnded(tokens: Long) {
        tokensInFlight -= tokens
    }

    /** Counts the end of one of this instance's requests. */
    public fun requestEnded() {
        inFlight--
    }

    /** Records that the endpoint reported that it stays cold for another [millis]. */
    public fun becomeCold(millis: Long, nowMillis: Long) {
        coldUntilMillis = maxOf(coldUntilMillis, nowMillis + millis)
    }

    /** Returns whether the endpoint is cold at [nowMillis]. */
    public fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    /** Records that the endpoint has [version] of [model]; a peer's older report that arrives late changes nothing. */
    public fun learnWeights(model: ModelId, version: Long) {
        learnedWeights.merge(model, version, ::maxOf)
    }

    /** Returns the newest version of [model] that the endpoint is known to have; versions only increase. */
    public fun weights(model: ModelId): Long? =
        listOfNotNull(entry.weights[model], learnedWeights[model]).maxOrNull()

    /** The newest version of each model that the endpoint is known to have. */
    public val allWeights: Map<ModelId, Long>
        get() = (entry.weights.keys + learnedWeights.keys).associateWith { weights(it) ?: 0 }

    private companion object {
        // More than all instances together send to one engine between two load reports.
        const val MAX_SENT_PROMPTS = 128
    }
}

/** Returns the prompts that were sent after [sinceMillis] and so are missing from a load report of that time. */
internal fun EndpointState.sentPromptsSince(sinceMillis: Long): List<SentPrompt> =
    sentPrompts.filter { it.atMillis > sinceMillis }

/** Records that the engine did not answer a load poll sent at [sentMillis]. */
public fun EndpointState.recordUnansweredPoll(sentMillis: Long) {
    unansweredPollMillis = maxOf(unansweredPollMillis, sentMillis)
}

/** Returns how many prompt tokens the engine has still to read, as far as this instance knows. */
internal fun EndpointState.unreadTokens(nowMillis: Long): Double = backlog.tokens(sentPrompts, nowMillis)
