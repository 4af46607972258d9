package org.parsleymoor.relay.exchange

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.MODEL
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.fleet.recordUnansweredPoll
import kotlin.random.Random

/** Instances and engines in [ZONES] zones that decide whom to ask and tell with the real decisions, under one clock. */
internal class SimulatedFleet(instances: Int, engines: Int, seed: Int = 1) {
    private val random = Random(seed)
    private val wire = ArrayList<Message>()
    private val members = (1..instances).map { number ->
        Member(InstanceId("i$number"), "i$number:1", zone(number), processors = if (number % BIG == 0) 1.5 else 0.36)
    }
    private val engineEntries = (1..engines).map { engineEntry(it) }

    val all: List<Instance> = members.map { Instance(it) }
    var nowMillis = 0L
        private set

    /** Zones that no message enters or leaves, and whose engines only their own instances reach. */
    var cutZones: Set<ZoneId> = emptySet()

    /** Instances that do nothing, and whose connections are silent. */
    val stopped = HashSet<InstanceId>()

    /** Engines that do not answer. */
    val dark = HashSet<EndpointId>()

    /** Times at which each engine was asked. */
    val asks = HashMap<EndpointId, MutableList<Long>>()

    /** How many messages were sent. */
    var messages = 0
        private set

    /** Lets [millis] pass. */
    fun run(millis: Long) {
        val untilMillis = nowMillis + millis
        while (nowMillis < untilMillis) {
            nowMillis += STEP_MILLIS
            wire.filter { it.atMillis <= nowMillis }.also { wire -= it.toSet() }.forEach { it.deliver() }
            all.filter { it.member.id !in stopped }.forEach { it.step() }
        }
    }

    /** Ages of what [instances] know of the engines in [zones], in ascending order. */
    fun ages(instances: List<Instance> = all, zones: Set<ZoneId> = ZONE_IDS): List<Long> =
        instances.filter { it.member.id !in stopped }.flatMap { one ->
            one.table.all.filter { it.entry.zone in zones && it.entry.id !in dark }
                .map { nowMillis - (it.engineLoad?.atMillis ?: 0) }
        }.sorted()

    private fun reaches(one: ZoneId, other: ZoneId): Boolean =
        one == other || one !in cutZones && other !in cutZones

    private fun delayMillis(one: ZoneId, other: ZoneId): Long =
        if (REGION.getValue(one) == REGION.getValue(other)) 1 else 20

    /** One instance with its own view of everything. */
    inner class Instance(val member: Member) {
        val table = EndpointTable().also { it.replaceAll(engineEntries, 0) }
        val tree = PeerTree(member).also { it.update(members) }

        /** How often each prompt of another instance was heard of, by its context. */
        val prompts = HashMap<ContextKey, Int>()
        private val asksDue = EnginePollSchedule(ReaderRanking(member).also { it.update(members) })
        private val box = PeerUpdateQueue()
        private val heard = HashMap<InstanceId, Long>()
        private val connected = HashSet<InstanceId>()
        private val asking = HashMap<EndpointId, Long>()
        private var tickMillis = random.nextLong(TICK_MILLIS)
        private var quietMillis = 0L

        /** Notes that this instance sends a prompt with [context] to [engine]. */
        fun send(context: ContextKey, engine: EndpointId) {
            box.addLocal(PeerUpdate.Sent(member.id, engine, SentPrompt(nowMillis, 1, 1, context)), tree, nowMillis)
        }

        fun step() {
            connect()
            table.all.filter { asking[it.entry.id] == null && asksDue.isDue(it, nowMillis) }.forEach { state ->
                ask(state.entry)
            }
            asking.filterValues { it <= nowMillis }.keys.toList().forEach { answered(it) }
            if (nowMillis >= tickMillis) tell()
        }

        private fun connect() {
            tree.neighbours(connected, nowMillis).forEach { other ->
                val peer = all.first { it.member.id == other.id }
                if (other.id !in connected && other.id !in stopped && reaches(member.zone, other.zone)) {
                    connected += other.id
                    heard[other.id] = nowMillis
                    peer.connected += member.id
                    peer.heard[member.id] = nowMillis
                }
            }
            val silent = connected.filter { nowMillis - (heard[it] ?: 0) > SILENCE_MILLIS }
            connected -= silent.toSet()
        }

        private fun ask(engine: EndpointEntry) {
            asks.getOrPut(engine.id) { ArrayList() } += nowMillis
            val silent = engine.id in dark || !reaches(member.zone, engine.zone)
            asking[engine.id] = nowMillis + if (silent) TIMEOUT_MILLIS else 2 * delayMillis(member.zone, engine.zone)
        }

        private fun answered(engine: EndpointId) {
            val state = table[engine]!!
            val askedMillis = asks.getValue(engine).last { it <= nowMillis }
            asking -= engine
            val silent = engine in dark || !reaches(member.zone, state.entry.zone)
            val news = if (silent) {
                state.recordUnansweredPoll(askedMillis)
                PeerUpdate.Unresponsive(engine, askedMillis)
            } else {
                val load = EngineLoad(1, 0, 0, 10, 100, askedMillis)
                state.learnLoad(load)
                PeerUpdate.Load(engine, load, mapOf(MODEL to 1L))
            }
            box.addLocal(news, tree, nowMillis)
        }

        private fun tell() {
            tickMillis += TICK_MILLIS
            val fresh = connected.filter { nowMillis - (heard[it] ?: 0) < FRESH_MILLIS }.ifEmpty { connected }
            val recipients = tree.recipients(
                fresh.associateWith { id -> members.first { it.id == id }.zone },
                nowMillis
            )
            say(ForwardScope.EVERYWHERE, listOfNotNull(recipients.hub))
            say(ForwardScope.ZONE, recipients.zones)
            say(ForwardScope.NOBODY, recipients.last)
            if (nowMillis - quietMillis >= QUIET_MILLIS) {
                quietMillis = nowMillis
                connected.forEach { send(it, ForwardScope.NOBODY, emptyList()) }
            }
        }

        private fun say(passOn: ForwardScope, to: List<InstanceId>) {
            val news = box.take(passOn)
            if (news.isNotEmpty()) to.forEach { send(it, passOn, news) }
        }

        private fun send(to: InstanceId, passOn: ForwardScope, news: List<PeerUpdate>) {
            val peer = all.first { it.member.id == to }
            if (!reaches(member.zone, peer.member.zone) || to in stopped) return
            messages++
            val atMillis = nowMillis + delayMillis(member.zone, peer.member.zone)
            wire += Message(atMillis) { peer.take(member.id, passOn, news) }
        }

        private fun take(from: InstanceId, passOn: ForwardScope, news: List<PeerUpdate>) {
            if (member.id in stopped) return
            heard[from] = nowMillis
            connected += from
            news.forEach { one ->
                learn(one)
                box.passOn(one, passOn)
            }
        }

        private fun learn(news: PeerUpdate) {
            when (news) {
                is PeerUpdate.Load -> table[news.endpoint]!!.learnLoad(news.load)
                is PeerUpdate.Unresponsive -> table[news.endpoint]!!.recordUnansweredPoll(news.atMillis)
                is PeerUpdate.Sent -> if (news.origin != member.id) prompts.merge(news.prompt.context, 1, Int::plus)
                is PeerUpdate.Ordered, is PeerUpdate.CacheStoreEvents, is PeerUpdate.CacheStoreUnreachable -> Unit
            }
        }
    }

    private class Message(val atMillis: Long, val deliver: () -> Unit)

    companion object {
        const val ZONES = 6
        private const val STEP_MILLIS = 10L
        private const val TICK_MILLIS = 100L
        private const val QUIET_MILLIS = 450L
        private const val FRESH_MILLIS = 1_200L
        private const val SILENCE_MILLIS = 3_000L
        private const val TIMEOUT_MILLIS = 400L
        private const val BIG = 5
        val ZONE_IDS = (0 until ZONES).map { ZoneId("z$it") }.toSet()
        private val REGION = ZONE_IDS.associateWith { if (it.value in setOf("z0", "z1", "z2")) "north" else "south" }

        fun zone(number: Int) = ZoneId("z${number % ZONES}")

        private fun engineEntry(number: Int) = EndpointEntry(
            id = EndpointId("e$number"),
            service = "engines",
            address = SocketAddress("10.0.0.1", number),
            zone = zone(number),
            draining = false,
            slots = 64,
            weights = mapOf(MODEL to 1L),
        )
    }
}
