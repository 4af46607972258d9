package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import java.security.MessageDigest
import java.util.Base64

/**
 * Runs calls under callers' own keys at most once (I8): a key is claimed in the platform before its call is
 * dispatched, and only the process named by the claim runs it. While the platform does not answer, calls are refused
 * as not run. Not safe for use from several threads.
 */
public class ClaimLedger(
    private val self: Incarnation,
    private val settings: ClaimSettings = ClaimSettings(),
) {
    private val runs = KeyedRuns(settings.memory)
    private val retention = ClaimRetention(settings.retentionMillis)
    private val shards = HashMap<Int, ClaimShard>()

    /** Returns the shard of [key]; its rendezvous owner is the gateway that tries to claim first. */
    public fun shardOf(organisation: OrganisationId, key: String): Int {
        val digest = digest(organisation, key)
        return settings.shardOfDigest(digest)
    }

    /** Returns whether this process decides on [call] alone: it ran the key, or it refused a copy of the request. */
    public fun knows(call: KeyedCall): Boolean =
        runs.refusedBefore(call) != null || runs.knows(digest(call.organisation, call.key))

    /** Drops claims that are older than [retentionMillis] from the next write of each shard on. */
    public fun retain(retentionMillis: Long) {
        retention.millis = retentionMillis
    }

    /** Takes in [call] at [nowMillis]. */
    public fun call(nowMillis: Long, call: KeyedCall): List<ClaimAction> {
        val key = digest(call.organisation, call.key)
        val refused = runs.refusedBefore(call)
        return when {
            refused != null -> listOf(ClaimAction.Execute(refused))
            runs.knows(key) -> listOfNotNull(runs.offer(key, call, fresh = false)).map { ClaimAction.Execute(it) }
            else -> shard(settings.shardOfDigest(key)).call(nowMillis, key, call)
        }
    }

    /** Takes in what the platform answered. */
    public fun handle(nowMillis: Long, event: ClaimEvent): List<ClaimAction> =
        shard(event.shard).handle(nowMillis, event)

    /** Records how the run of [call] ended and returns the answers of all requests that waited for it. */
    public fun finished(call: KeyedCall, outcome: RunOutcome): List<ClaimAction> =
        runs.finish(digest(call.organisation, call.key), outcome).map { ClaimAction.Execute(it) }

    /** Returns the answer of a call that was forwarded to its claimer; [answer] is null when that did not answer. */
    public fun forwarded(call: KeyedCall, answer: ExecutionAnswer?): ClaimAction {
        val action = answer?.let { ExecutionAction.Answer(call.request, it) }
        return ClaimAction.Execute(action ?: call.answerUnknown(UnknownReason.CLAIMER_GONE))
    }

    /** Starts writes that are due and refuses calls that waited too long. */
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
