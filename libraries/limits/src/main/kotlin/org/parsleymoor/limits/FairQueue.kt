package org.parsleymoor.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.parsleymoor.core.Failure
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import java.util.TreeSet

/** Limits of a [FairQueue], in requests. */
public data class FairQueueLimits(public val length: Int = 1_000, public val lengthPerOrganisation: Int = 400)

/** The [limit] on queued requests of [organisation] is reached, or that of the whole queue when it is null. */
public data class QueueFull(public val limit: Int, public val organisation: OrganisationId? = null) : Failure {
    override val message: String
        get() = "expected fewer than $limit queued requests${organisation?.let { " of $it" }.orEmpty()}, found $limit"
}

/**
 * Start-time fair queue: requests of equal priority are served in order of their start tags, so that organisations with
 * waiting requests get tokens in proportion to their weights, whatever the size of their requests. Higher priorities
 * are always served first; deadlines limit how long lower ones wait. Not thread-safe.
 */
public class FairQueue(private val limits: FairQueueLimits = FairQueueLimits()) {
    private val inServiceOrder = TreeSet<Entry>(
        compareByDescending<Entry> { it.item.priority }.thenBy { it.startTag }.thenBy { it.arrival },
    )
    private val byDeadline = TreeSet<Entry>(compareBy<Entry> { it.item.deadlineMillis }.thenBy { it.arrival })
    private val byRequest = HashMap<String, Entry>()
    private val flows = HashMap<String, Flow>()
    private var virtualTime = 0.0
    private var arrivals = 0L

    /** Number of waiting requests. */
    public val size: Int get() = inServiceOrder.size

    /** Sum of the tokens of all waiting requests. */
    public var tokens: Long = 0
        private set

    /** Adds [item], or returns [QueueFull] without adding it when a limit is reached. */
    public fun offer(item: QueuedRequest): Result<Unit, QueueFull> {
        require(item.weight > 0) { "expected a weight above 0, got ${item.weight}" }
        val full = reachedLimit(item.organisation)
        if (full != null) return Err(full)
        append(item, flows.getOrPut(item.organisation.value) { Flow() })
        return Ok(Unit)
    }

    /** Removes and returns the next request whose deadline is after [nowMillis]; null when none waits. */
    public fun poll(nowMillis: Long): QueuedRequest? {
        val entry = inServiceOrder.firstOrNull { it.item.deadlineMillis > nowMillis } ?: return null
        virtualTime = maxOf(virtualTime, entry.startTag)
        take(entry)
        return entry.item
    }

    /** Removes and returns the requests whose deadline has passed at [nowMillis], earliest first; none of them ran. */
    public fun expire(nowMillis: Long): List<QueuedRequest> {
        val expired = byDeadline.takeWhile { it.item.deadlineMillis <= nowMillis }
        expired.forEach { take(it) }
        return expired.map { it.item }
    }

    /** Removes [request], for example when its caller has disconnected; returns whether it was waiting. */
    public fun cancel(request: RequestId): Boolean {
        val entry = byRequest[request.value] ?: return false
        take(entry)
        return true
    }

    private fun reachedLimit(organisation: OrganisationId): QueueFull? {
        val ownWaiting = flows[organisation.value]?.waiting ?: 0
        return when {
            size >= limits.length -> QueueFull(limits.length)
            ownWaiting >= limits.lengthPerOrganisation -> QueueFull(limits.lengthPerOrganisation, organisation)
            else -> null
        }
    }

    private fun append(item: QueuedRequest, flow: Flow) {
        val startTag = maxOf(virtualTime, flow.finishTag)
        flow.finishTag = startTag + item.tokens.toDouble() / item.weight
        flow.waiting++
        val entry = Entry(item, startTag, arrivals++)
        inServiceOrder += entry
        byDeadline += entry
        byRequest[item.request.value] = entry
        tokens += item.tokens
    }

    private fun take(entry: Entry) {
        inServiceOrder -= entry
        byDeadline -= entry
        byRequest -= entry.item.request.value
        tokens -= entry.item.tokens
        val flow = flows.getValue(entry.item.organisation.value)
        flow.waiting--
        if (flow.waiting == 0 && flow.finishTag <= virtualTime) flows -= entry.item.organisation.value
    }

    private class Entry(val item: QueuedRequest, val startTag: Double, val arrival: Long)

    private class Flow(var finishTag: Double = 0.0, var waiting: Int = 0)
}
