package org.parsleymoor.relay.limits

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** What all instances send a cold endpoint while some of them do not know the others or are not counted by them. */
class ColdLimitFleetTest {
    // An instance that started while the store rejected it counted itself alone and took the whole limit.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `an instance that starts while the store rejects it keeps to its share`(fleet: Fleet) {
        fleet.settle()
        fleet.restart(listOf(fleet.all.first()), downMillis = 600..600, rejected = true)
        fleet.expectWithinLimit(seconds = 30)
    }

    // The others counted it again only with their next lists.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `instances that the store rejects for long keep to the limit with the others`(fleet: Fleet) {
        fleet.settle()
        fleet.third().forEach { it.rejected = true }
        fleet.expectWithinLimit(seconds = 50)
        fleet.third().forEach { it.rejected = false }
        fleet.expectWithinLimit(seconds = 30)
    }

    // Instances that are new are counted by the others only with their next lists.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `instances that are added keep to the limit with those that do not count them yet`(fleet: Fleet) {
        fleet.settle()
        fleet.add(fleet.all.size)
        fleet.expectWithinLimit(seconds = 30)
    }

    // What a former process sent just before its end was forgotten by the next one.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `instances that are restarted at once keep to the limit with what they sent before`(fleet: Fleet) {
        fleet.settle()
        fleet.restart(fleet.third(), downMillis = 600..3_000)
        fleet.expectWithinLimit(seconds = 30)
    }

    // Each instance that starts sees only those in the list that registered before it.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `instances that all start after their registrations expired keep to the limit`(fleet: Fleet) {
        fleet.settle()
        fleet.restart(fleet.all.toList(), downMillis = 30_000..33_000)
        fleet.run(seconds = 30)
        fleet.expectWithinLimit(seconds = 20)
    }

    // Endpoints are cold as well after a loss of power; instances may not leave them unused for long.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `instances that all start again soon use the limit within seconds`(fleet: Fleet) {
        fleet.settle()
        fleet.restart(fleet.all.toList(), downMillis = 1_000..3_000)
        fleet.run(seconds = 5)
        expectThat(fleet.sentInLast(millis = 1_000)).isGreaterThanOrEqualTo(fleet.limit.total / 2)
        fleet.expectWithinLimit(seconds = 20)
    }

    // Their former registrations are still in the list when the others have stopped counting them.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `instances that were down for long keep to the limit with those that no longer count them`(fleet: Fleet) {
        fleet.settle()
        fleet.restart(fleet.third(), downMillis = 28_000..30_000)
        fleet.expectWithinLimit(seconds = 60)
    }

    // Cold endpoints have to be used while the store is away; nobody can register or stop counting anyone then.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `instances use the limit while the store rejects all of them`(fleet: Fleet) {
        fleet.settle()
        fleet.all.forEach { it.rejected = true }
        fleet.run(seconds = 30)
        fleet.restart(fleet.third(), downMillis = 600..3_000, rejected = true)
        fleet.expectWithinLimit(seconds = 30)
        expectThat(fleet.sentInLast(millis = 1_000)).isGreaterThanOrEqualTo(fleet.limit.total / 2)
        fleet.all.forEach { it.rejected = false }
        fleet.expectWithinLimit(seconds = 30)
    }

    // An instance that stops goes on serving, while the others divide its share.
    @ParameterizedTest
    @MethodSource("fleets")
    fun `instances that are stopping keep to the limit with those that no longer count them`(fleet: Fleet) {
        fleet.settle()
        fleet.third().forEach { it.deregister() }
        fleet.expectWithinLimit(seconds = 15)
    }

    /** Instances that always have requests for one cold endpoint, in steps of [STEP_MILLIS]. */
    class Fleet(private val count: Int, val limit: ColdEndpointLimit, private val seed: Int) {
        private val random = Random(seed)
        private val registered = HashMap<InstanceId, Long>()
        private val sent = ArrayList<Long>()
        private var nowMillis = 0L
        val all = ArrayList<Instance>()

        override fun toString(): String = "$count instances, limit ${limit.total}, seed $seed"

        fun third(): List<Instance> = all.take(maxOf(1, all.size / 3))

        fun add(count: Int) {
            repeat(count) { all += Instance(InstanceId("i${all.size}"), nowMillis + random.nextLong(1_000)) }
        }

        fun settle() {
            add(count)
            run(seconds = 30)
            sent.clear()
        }

        fun restart(instances: List<Instance>, downMillis: IntRange, rejected: Boolean = false) {
            instances.forEach { former ->
                val restarted = Instance(former.id, nowMillis + downMillis.random(random))
                restarted.rejected = rejected
                all[all.indexOf(former)] = restarted
            }
        }

        fun run(seconds: Int) {
            val untilMillis = nowMillis + seconds * 1_000
            while (nowMillis < untilMillis) {
                nowMillis += STEP_MILLIS
                all.filter { it.startMillis <= nowMillis }.forEach { it.step() }
            }
        }

        fun expectWithinLimit(seconds: Int) {
            run(seconds)
            var first = 0
            val most = sent.indices.maxOfOrNull { last ->
                while (sent[last] - sent[first] >= 1_000) first++
                last - first + 1
            } ?: 0
            expectThat(most).isLessThanOrEqualTo(limit.total)
            expectThat(most).isGreaterThan(0)
        }

        fun sentInLast(millis: Long): Int = sent.count { it > nowMillis - millis }

        inner class Instance(val id: InstanceId, val startMillis: Long) {
            private val known = KnownInstances(id)
            private val budget = ColdEndpointBudget(id, startMillis)
            private var lists = 0
            private var nextListMillis = startMillis + 300
            private var renewedMillis = Long.MIN_VALUE / 2
            private var listedMillis: Long? = null
            private val observations = HashMap<InstanceId, Observation>()
            private var askedMillis = 0L
            private var stopping = false

            /** Whether the store rejects all calls of this instance. */
            var rejected = false

            fun deregister() {
                stopping = true
                known.recordRemoval()
                registered -= id
            }

            fun step() {
                if (nowMillis >= nextListMillis) readList()
                if (known.isUnsure(nowMillis) && nowMillis - askedMillis >= 1_000) ask()
                while (budget.tryTake(EndpointId("e"), limit, known.part(nowMillis), nowMillis)) sent += nowMillis
            }

            private fun readList() {
                nextListMillis = nowMillis + if (lists++ < 4) 1_500 else 6_000
                if (rejected) return
                if (!stopping && nowMillis - renewedMillis >= 6_000) {
                    known.recordRenewal(nowMillis, replaced = id in registered)
                    renewedMillis = nowMillis
                    registered[id] = nowMillis
                }
                known.list(InstanceList(alive() + id, nowMillis))
            }

            /** As the list of registrations is read: one expires that has not changed while it could be read. */
            private fun alive(): Set<InstanceId> {
                val unreadableMillis = listedMillis?.let { maxOf(0, nowMillis - it - 6_000) } ?: 0
                listedMillis = nowMillis
                registered.forEach { (id, renewed) ->
                    val before = observations[id]?.takeIf { it.renewedMillis == renewed }
                    val sinceMillis = before?.let { it.sinceMillis + unreadableMillis } ?: nowMillis
                    observations[id] = Observation(renewed, sinceMillis)
                }
                observations.keys.retainAll(registered.keys)
                return observations.filterValues { nowMillis - it.sinceMillis < EXPIRY_MILLIS }.keys.toSet()
            }

            private fun ask() {
                askedMillis = nowMillis
                val peers = all.filter { it !== this && it.startMillis <= nowMillis }.shuffled(random).take(3)
                peers.mapNotNull { it.known.newest }.forEach { known.tell(it, nowMillis) }
            }
        }
    }

    private class Observation(val renewedMillis: Long, val sinceMillis: Long)

    private companion object {
        const val STEP_MILLIS = 50L
        const val EXPIRY_MILLIS = 20_000L

        @JvmStatic
        fun fleets(): List<Fleet> = listOf(3, 9, 59, 124).flatMap { count ->
            listOf(
                ColdEndpointLimit(requestsPerSecond = 9.4, overage = 1.5, slack = 5.0),
                ColdEndpointLimit(requestsPerSecond = 1.0, overage = 1.5, slack = 2.0),
            ).flatMap { limit -> (1..3).map { seed -> Fleet(count, limit, seed) } }
        }
    }
}
