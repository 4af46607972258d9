package org.parsleymoor.trials

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.Executors

/** Verified traffic of both deployments at a fixed rate, drawn from [seed], until it is stopped. */
internal class FaultTraffic(
    private val balancer: LoadBalancer,
    private val seed: Long,
    private val requestsPerSecond: Int,
) {
    @Volatile
    private var stopped = false

    /** Sends calls until [stop]; returns when the last has ended. */
    suspend fun run(): List<CallRecord> = coroutineScope {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        val begin = System.nanoTime()
        val calls = ArrayList<Deferred<List<CallRecord>>>()
        while (!stopped) {
            val call = draw(calls.size, random)
            calls += async(CALLERS) { call() }
            delay(calls.size * MILLIS_PER_SECOND / requestsPerSecond - (System.nanoTime() - begin) / NANOS_PER_MILLI)
        }
        calls.awaitAll().flatten()
    }

    /** Starts no further call. */
    fun stop() {
        stopped = true
    }

    private fun draw(number: Int, random: UniformRandomProvider): () -> List<CallRecord> {
        val home = random.nextInt(Deployment.zones.size)
        val organisation = Deployment.organisations[random.nextInt(Deployment.organisations.size)]
        val context = random.nextInt(CONTEXTS_PER_ORGANISATION)
        val kind = KINDS[random.nextInt(KINDS.size)]
        val repeats = random.nextInt(REPEATED) == 0
        val call = Numbered(number, Deployment.contextText(organisation, context))
        return {
            val caller = Caller(organisation, balancer.choose(home), balancer.choose(home + 1))
            val repeater = Caller(organisation, balancer.choose(home + 1), balancer.choose(home + 2))
            send(caller, if (repeats) repeater else null, kind, call)
        }
    }

    private fun send(caller: Caller, repeater: Caller?, kind: CallKind, call: Numbered): List<CallRecord> {
        val path = "/weighings/$seed-${call.number}"
        return when (kind) {
            CallKind.STREAMED, CallKind.WHOLE ->
                listOf(caller.complete("${call.context} question $seed ${call.number}", kind == CallKind.STREAMED))
            CallKind.READ -> listOf(caller.read("/albums/$seed-${call.number}"))
            CallKind.OWN_KEY -> {
                val key = "own-$seed-${call.number}"
                repeated(caller.post(kind, path, WEIGHING, key), repeater, key)
            }
            CallKind.TICKET -> {
                val (first, ticket) = caller.postWithTicket(path, WEIGHING)
                repeated(first, repeater, ticket)
            }
            CallKind.PLAIN, CallKind.REPEAT -> listOf(caller.post(kind, path, WEIGHING))
        }
    }

    /** A call that was refused as not run is not repeated, so that a later run cannot be taken for it. */
    private fun repeated(first: CallRecord, repeater: Caller?, key: String): List<CallRecord> {
        if (repeater == null || key.isEmpty() || first.outcome.result == CallResult.NOT_RUN) return listOf(first)
        return listOf(first, repeater.repeat(first, WEIGHING, key))
    }

    private data class Numbered(val number: Int, val context: String)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val NANOS_PER_MILLI = 1_000_000L
        const val CONTEXTS_PER_ORGANISATION = 10
        const val REPEATED = 3
        const val WEIGHING = "{\"basket\":7,\"grams\":12400}"
        val KINDS = listOf(
            CallKind.STREAMED,
            CallKind.STREAMED,
            CallKind.STREAMED,
            CallKind.WHOLE,
            CallKind.READ,
            CallKind.PLAIN,
            CallKind.OWN_KEY,
            CallKind.TICKET,
        )

        // A caller of a paused gateway holds its thread until the gateway goes on.
        val CALLERS = Executors.newCachedThreadPool { task ->
            Thread(task, "caller").apply { isDaemon = true }
        }.asCoroutineDispatcher()
    }
}
