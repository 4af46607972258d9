package org.parsleymoor.entry

/** A counter for each of [reasons]. */
public class ReasonCounter<T : Enum<T>>(reasons: List<T>) {
    private val counters = reasons.associateWith { Counter() }

    /** Counts one event with [reason]. */
    public fun increment(reason: T) {
        counters.getValue(reason).increment()
    }

    /** Returns the counters as lines in the Prometheus text format, under [name]. */
    public fun prometheusLines(name: String): List<String> =
        counters.map { (reason, counter) -> "$name{reason=\"${reason.name.lowercase()}\"} ${counter.count}" }
}
