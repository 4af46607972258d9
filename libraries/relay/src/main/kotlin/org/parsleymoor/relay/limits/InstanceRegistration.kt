package org.parsleymoor.relay.limits

/** The registration of this instance in the object store, of which the others learn when they read the list. */
internal class InstanceRegistration(private val times: RegistrationTimes) {
    private var renewedMillis = Long.MIN_VALUE / 2

    /** When the registration that counts was written, or null before. */
    var sinceMillis: Long? = null
        private set

    /** Records that it was written or renewed by a call that began at [atMillis]. */
    fun renew(atMillis: Long) {
        if (isExpired(atMillis)) sinceMillis = atMillis
        renewedMillis = atMillis
    }

    /** Whether it no longer counts. */
    fun isExpired(nowMillis: Long): Boolean = nowMillis - renewedMillis >= times.expiryMillis

    /** Whether it counts, and all others have listed it. */
    fun isListed(nowMillis: Long): Boolean =
        !isExpired(nowMillis) && sinceMillis.let { it != null && nowMillis - it >= times.listMillis + LIST_CALL_MILLIS }

    /** Whether others that start at the same time may not have registered yet. */
    fun isNew(nowMillis: Long): Boolean = sinceMillis.let { it != null && nowMillis - it < NEW_MILLIS }

    /** Whether it expires in less than [millis], unless it is renewed. */
    fun expiresWithin(millis: Long, nowMillis: Long): Boolean = isExpired(nowMillis + millis)

    private companion object {
        // A list may be under way for this long after its call began.
        const val LIST_CALL_MILLIS = 1_000L

        // An instance that starts reads the second list 1.5 s after the first.
        const val NEW_MILLIS = 2_000L
    }
}
