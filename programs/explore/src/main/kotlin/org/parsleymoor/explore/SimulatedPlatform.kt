package org.parsleymoor.explore

/** An object of the [SimulatedPlatform]. */
internal data class SimulatedObject<V>(val value: V, val version: Long, val writeId: String)

/** What a writer is told. */
internal sealed interface WriteReply<out V> {
    data class Written(val version: Long) : WriteReply<Nothing>

    data class Conflicted<V>(val current: SimulatedObject<V>?) : WriteReply<V>

    data class Failed(val mayHaveTakenEffect: Boolean) : WriteReply<Nothing>
}

/** The object service: conditional updates with write ids, outages, and requests and responses that get lost. */
internal class SimulatedPlatform<V>(private val world: World) {
    private val objects = HashMap<String, SimulatedObject<V>>()

    /** Called with each object that changes, as a watch would report it. */
    var onChange: (name: String, changed: SimulatedObject<V>) -> Unit = { _, _ -> }

    /** Whether requests that arrive are carried out. */
    var up = true
        private set

    operator fun get(name: String): SimulatedObject<V>? = objects[name]

    /** Stores [value] under [name] for a writer outside of the simulation. */
    fun put(name: String, value: V, writeId: String) {
        apply(name, SimulatedObject(value, objects[name]?.version ?: 0, writeId))
    }

    /** Reads [name] for [host]. A failure is mostly reported; sometimes the caller's own deadline has to do. */
    fun read(host: Host, name: String, onReply: (SimulatedObject<V>?) -> Unit, onFailure: () -> Unit) {
        val call = PendingCall(host, onFailure)
        val receive = host.callback<() -> Unit> { call.reply(it) }
        world.carry {
            val found = objects[name]
            val answered = up
            world.carry { receive { if (answered) onReply(found) else onFailure() } }
        }
    }

    /** Writes [value] for [host] when the version of [name] is [expectedVersion]. */
    fun write(host: Host, name: String, next: SimulatedObject<V>, onReply: (WriteReply<V>) -> Unit) {
        val call = PendingCall(host) { onReply(WriteReply.Failed(mayHaveTakenEffect = true)) }
        val receive = host.callback<() -> Unit> { call.reply(it) }
        world.carry {
            val reply = if (up) apply(name, next) else WriteReply.Failed(world.chance.happens(HALF))
            world.carry { receive { onReply(reply) } }
        }
    }

    /** Goes down and comes back at random from now on. */
    fun sufferHazards() {
        world.scheduler.after(SECOND_MILLIS) {
            if (up && world.chance.happens(world.hazards.outage)) goDown(world.chance.between(1, LONGEST_OUTAGE_MILLIS))
            sufferHazards()
        }
    }

    /** Ends an outage. */
    fun calm() {
        up = true
    }

    private fun goDown(millis: Long) {
        up = false
        world.note { "the platform is down for $millis ms" }
        world.scheduler.after(millis) { up = true }
    }

    private fun apply(name: String, next: SimulatedObject<V>): WriteReply<V> {
        val current = objects[name]
        if ((current?.version ?: 0) != next.version) return WriteReply.Conflicted(current)
        val stored = next.copy(version = next.version + 1)
        objects[name] = stored
        world.note { "the platform stores $name version ${next.version + 1} by ${next.writeId}" }
        onChange(name, stored)
        return WriteReply.Written(stored.version)
    }

    /** A reply that arrives after the caller was told of a failure, or twice, is still delivered. */
    private inner class PendingCall(host: Host, onFailure: () -> Unit) {
        private var replied = false

        init {
            if (world.chance.happens(HALF)) host.after(CLIENT_TIMEOUT_MILLIS) { if (!replied) onFailure() }
        }

        fun reply(deliver: () -> Unit) {
            replied = true
            deliver()
        }
    }

    private companion object {
        const val HALF = 0.5
        const val SECOND_MILLIS = 1_000L
        const val CLIENT_TIMEOUT_MILLIS = 900L
        const val LONGEST_OUTAGE_MILLIS = 15_000L
    }
}
