package org.parsleymoor.relay.limits

/**
 * Each instance renews its registration and reads the list of all registrations every [listMillis]; one that has not
 * been renewed for [expiryMillis] no longer counts.
 */
public data class RegistrationTimes(
    // Shared limits tolerate a view that is some seconds old, and every renewal is a billed write.
    public val listMillis: Long = 6_000,
    public val expiryMillis: Long = 20_000,
)
