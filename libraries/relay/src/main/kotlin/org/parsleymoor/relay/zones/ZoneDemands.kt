package org.parsleymoor.relay.zones

import org.parsleymoor.core.ZoneId

/**
 * The prompts that the callers of each zone send to the engines of each service, as all instances tell each other.
 * Not thread-safe.
 */
public class ZoneDemands {
    private val rates = HashMap<Pair<String, ZoneId>, DecayingRate>()

    /**
     * Records at [nowMillis] a prompt of [tokens] to be computed for a caller of [origin]. A prompt counts when
     * this instance learns of it: counted when it was sent, it would have lost weight by then, and the demand would
     * seem the smaller the later the updates are.
     */
    public fun record(service: String, origin: ZoneId, tokens: Long, nowMillis: Long) {
        rates.getOrPut(service to origin) { DecayingRate(TIME_CONSTANT_MILLIS) }.add(tokens.toDouble(), nowMillis)
    }

    /** Returns the demand of the callers of [origin] in tokens a second. */
    public fun perSecond(service: String, origin: ZoneId, nowMillis: Long): Double =
        rates[service to origin]?.perSecond(nowMillis) ?: 0.0

    private companion object {
        // With 1.5 s a wave of twelve seconds had passed before its excess was sent out.
        const val TIME_CONSTANT_MILLIS = 500.0
    }
}
