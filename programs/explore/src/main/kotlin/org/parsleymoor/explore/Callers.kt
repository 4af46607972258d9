package org.parsleymoor.explore

import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall

/** Callers that issue calls under tickets and keys of their own, and repeat them with the same key at any gateway. */
internal class Callers(private val world: ExecutionWorld) {
    private val refused = HashSet<RequestId>()
    private var keyCount = 0L
    private var requestCount = 0L

    /** Starts a call every so often from now on. */
    fun start() {
        world.scheduler.after(world.chance.between(1, LONGEST_GAP_MILLIS)) {
            if (world.chance.happens(TICKET_SHARE)) callWithTicket() else call("key-${keyCount++}", ATTEMPTS)
            start()
        }
    }

    /** Takes the answer to [call] and checks it against what the service saw. */
    fun accept(call: KeyedCall, answer: ExecutionAnswer) {
        world.note { "${call.request} is answered $answer" }
        when (answer) {
            is ExecutionAnswer.NotRun -> refused += call.request
            is ExecutionAnswer.Response -> checkResponse(call, answer)
            is ExecutionAnswer.Unknown -> Unit
        }
    }

    /** Checks that no request that was refused as not run has run. */
    fun check(request: RequestId) {
        if (request in refused) world.violate("I7", "$request has not run, as its caller was told", "it ran")
    }

    private fun checkResponse(call: KeyedCall, answer: ExecutionAnswer.Response) {
        val found = answer.response.contentType
        if (found != call.key) world.violate("I6", "the response of ${call.key}", "the response of $found")
    }

    private fun callWithTicket() {
        val process = world.chance.pick(world.processes)
        process.host.after(1) { call(process.issue(OWNER).toString(), ATTEMPTS) }
    }

    /** Sends a request and repeats it under the same key, whatever the answer is. */
    private fun call(key: String, attempts: Int) {
        val call = KeyedCall(RequestId("request-${requestCount++}"), OWNER, key, "fingerprint")
        val process = world.chance.pick(world.processes)
        world.carryOnce(LATE_MILLIS, lost = {}) { process.host.bound { process.receive(call) }() }
        if (attempts > 1) {
            world.scheduler.after(world.chance.between(1, LONGEST_RETRY_MILLIS)) { call(key, attempts - 1) }
        }
    }

    private companion object {
        val OWNER = OrganisationId("estate")
        const val TICKET_SHARE = 0.4
        const val ATTEMPTS = 4
        const val LATE_MILLIS = 3_000L
        const val LONGEST_GAP_MILLIS = 1_500L
        const val LONGEST_RETRY_MILLIS = 8_000L
    }
}
