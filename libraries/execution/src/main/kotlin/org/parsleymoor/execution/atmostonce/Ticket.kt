package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId

/** An idempotency key of the form `t1.<instance>.<start>.<number>.<mac>`, valid only in the process that issued it. */
public data class Ticket(
    public val issuer: Incarnation,
    public val number: Long,
    public val mac: String,
) {
    override fun toString(): String = "$signedText.$mac"

    internal val signedText: String get() = signedText(issuer, number)

    public companion object {
        private val pattern = Regex("""t1\.([A-Za-z0-9._-]{1,128})\.(\d{1,18})\.(\d{1,18})\.([0-9a-f]{32})""")

        /** Returns the ticket that [key] encodes, or null if [key] is not in the ticket format. */
        public fun parse(key: String): Ticket? = pattern.matchEntire(key)?.let { match ->
            val issuer = Incarnation(InstanceId(match.groupValues[INSTANCE]), match.groupValues[START].toLong())
            Ticket(issuer, match.groupValues[NUMBER].toLong(), match.groupValues[MAC])
        }

        internal fun signedText(issuer: Incarnation, number: Long): String =
            "t1.${issuer.instance}.${issuer.startMillis}.$number"

        private const val INSTANCE = 1
        private const val START = 2
        private const val NUMBER = 3
        private const val MAC = 4
    }
}
