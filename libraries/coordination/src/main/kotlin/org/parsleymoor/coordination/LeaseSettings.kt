package org.parsleymoor.coordination

/**
 * Times of a lease in milliseconds. The holder renews its lease after [renewMillis], and a contender reads the lease at
 * the same interval. A new operation starts [retryMillis] after a read or a failure at the earliest; a response that is
 * missing after [responseMillis] counts as lost. An order is delivered or given up within [deliveryTimeoutMillis]. The
 * holder uses a lease for [usableMillis], counted from before the request that wrote it.
 */
public data class LeaseSettings(
    public val durationMillis: Long = 15_000,
    public val renewMillis: Long = 5_000,
    public val retryMillis: Long = 500,
    public val responseMillis: Long = 2_000,
    public val deliveryTimeoutMillis: Long = 2_000,
    public val usableMillis: Long = durationMillis * USABLE_THIRDS / THIRDS,
) {
    private companion object {
        const val USABLE_THIRDS = 2L
        const val THIRDS = 3L
    }
}
