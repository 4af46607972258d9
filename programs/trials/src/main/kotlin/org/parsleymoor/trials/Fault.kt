package org.parsleymoor.trials

/** A fault of an experiment. */
internal sealed class Fault {
    /** How long the fault lasts after it has been brought about. */
    open val lastsMillis: Long get() = LASTS_MILLIS

    /** Gateways that serve nobody while the fault lasts. */
    open val unreachable: Set<String> get() = emptySet()

    /** Whether the configuration can be changed while the fault lasts. */
    open val platformAccepts: Boolean get() = true

    /** Brings the fault about. */
    abstract fun begin()

    /** Takes the fault back and returns when its part serves again. */
    abstract fun end()

    /** What went against the fault's own promises, one line each. */
    open fun failures(): List<String> = emptyList()

    private companion object {
        const val LASTS_MILLIS = 8_000L
    }
}
