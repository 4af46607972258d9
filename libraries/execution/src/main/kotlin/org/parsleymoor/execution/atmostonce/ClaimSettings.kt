package org.parsleymoor.execution.atmostonce

/**
 * Bounds of a [ClaimLedger]. A head above [sealBytes] is sealed. Two head writes of a shard are at least
 * [commitIntervalMillis] apart, so [shards] shards write at most `shards * 1000 / commitIntervalMillis` times a second
 * for the whole fleet. A call that waits longer than [waitMillis] is refused; a missing response counts as lost after
 * [responseMillis]; after a failure the shard refuses at once for [retryMillis]. Claims are kept for [retentionMillis]
 * until [ClaimLedger.retain] says otherwise.
 */
public data class ClaimSettings(
    public val shards: Int = 8,
    public val sealBytes: Int = 524_288,
    public val retentionMillis: Long = 604_800_000,
    public val commitIntervalMillis: Long = 40,
    public val waitMillis: Long = 4_000,
    public val responseMillis: Long = 1_500,
    public val retryMillis: Long = 200,
    public val waitingPerShard: Int = 10_000,
    public val memory: RunHistorySettings = RunHistorySettings(),
)
