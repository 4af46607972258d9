package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import java.security.MessageDigest
import java.util.Base64

/**
 * Runs each call with a key of the caller's choice at most once (invariant I8): the key is claimed in the platform
 * before the call is dispatched, and only the process that holds the claim runs it. While the platform does not answer,
 * calls are refused as not run. Not thread-safe.
 */
public class ClaimLedger(
    private val self: Incarnation,
    private val settings: ClaimSettings = ClaimSettings(),
) {
    private val runs = KeyedRuns(settings.history)
    private val retention = ClaimRetention(settings.retentionMillis)
    private val shards = HashMap<Int, ClaimShard>()

    /** Returns the shard of [key]; the gateway that rendezvous hashing ranks first for it tries to claim first. */
    public fun shardOf(organisation: OrganisationId, key: String): Int {
        val digest = digest(organisation, key)
        return settings.shardOfDigest(digest)
    }

    /** Returns whether this process can decide on [call] alone: it ran the key or refused a copy of the request. */
    public fun knows(call: KeyedCall): Boolean =
        runs.earlierRefusal(call) != null || runs.hasRun(digest(call.organisation, call.key))

    /** Sets the retention time; the next write of each shard drops claims that are older. */
    public fun retain(retentionMillis: Long) {
        retention.millis = retentionMillis
    }

    /** Decides on [call] at [nowMillis], or queues it until its key is claimed. */
    public fun call(nowMillis: Long, call: KeyedCall): List<ClaimAction> {
        val key = digest(call.organisation, call.key)
        val refused = runs.earlierRefusal(call)
        return when {
            refused != null -> listOf(ClaimAction.Execute(refused))
            runs.hasRun(key) -> listOfNotNull(runs.decide(key, call, isNew = false)).map { ClaimAction.Execute(it) }
            else -> shard(settings.shardOfDigest(key)).call(nowMillis, key, call)
        }
    }

    /** Applies the result of a platform operation at [nowMillis]. */
    public fun handle(nowMillis: Long, event: ClaimEvent): List<ClaimAction> =
        shard(event.shard).handle(nowMillis, event)

    /** Records how the run of [call] ended and returns the answers of all requests that waited for it. */
    public fun finished(call: KeyedCall, outcome: RunOutcome): List<ClaimAction> =
        runs.finish(digest(call.organisation, call.key), outcome).map { ClaimAction.Execute(it) }

    /** Returns the answer to a call that was forwarded to its claimer; [answer] is null if that did not answer. */
    public fun forwarded(call: KeyedCall, answer: ExecutionAnswer?): ClaimAction {
        val action = answer?.let { ExecutionAction.Answer(call.request, it) }
        return ClaimAction.Execute(action ?: call.answerUnknown(UnknownReason.CLAIMER_GONE))
    }

    /** Starts reads and writes that are due and refuses calls that have waited too long. */
    public fun tick(nowMillis: Long): List<ClaimAction> = shards.values.flatMap { it.tick(nowMillis) }

    private fun shard(number: Int): ClaimShard =
        shards.getOrPut(number) { ClaimShard(number, self, settings, runs, retention) }
}

private const val DIGEST_BYTES = 16

private fun digest(organisation: OrganisationId, key: String): String {
    val hash = MessageDigest.getInstance("SHA-256").digest("$organisation\n$key".encodeToByteArray())
    return Base64.getUrlEncoder().withoutPadding().encodeToString(hash.copyOf(DIGEST_BYTES))
}

private fun ClaimSettings.shardOfDigest(digest: String): Int = Math.floorMod(digest.hashCode(), shards)
