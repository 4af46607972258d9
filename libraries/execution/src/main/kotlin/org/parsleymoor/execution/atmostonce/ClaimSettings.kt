package org.parsleymoor.execution.atmostonce

/**
 * Limits and times of a [ClaimLedger]. The claims of a head larger than [sealBytes] are moved to a sealed segment. Two
 * head writes of a shard are at least [commitIntervalMillis] apart, so the whole fleet writes at most
 * `shards * 1000 / commitIntervalMillis` times a second. At most [waitingPerShard] keys wait in a shard, and a call
 * that waits longer than [waitMillis] is refused. A response that is missing after [responseMillis] counts as lost;
 * after a failure the shard refuses all calls for [retryMillis]. Claims are kept for [retentionMillis] until
 * [ClaimLedger.retain] sets another time.
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
    public val history: RunHistorySettings = RunHistorySettings(),
)
