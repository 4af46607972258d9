package org.parsleymoor.explore

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.ConfigurationSection
import org.parsleymoor.configuration.SectionReference
import org.parsleymoor.coordination.SyncEvent
import org.parsleymoor.core.InstanceId

/** Operators who change the configuration and gateways that put each revision into effect (I11). */
internal class ConfigurationWorld(settings: HistorySettings) : World(settings) {
    val roots = SimulatedPlatform<ConfigurationRoot>(this)
    val texts = HashMap<String, String>()
    val processes = (0 until GATEWAYS).map { SpreadProcess(this, Host(this, it), it) }
    private val accepted = HashMap<Long, ConfigurationRoot>()
    private var latest = 0L

    init {
        processes.forEach { it.host.start() }
        processes.forEach { it.host.sufferHazards() }
        roots.sufferHazards()
        roots.onChange = { _, changed -> processes.forEach { it.watch(changed.value) } }
        change()
    }

    /** Sends [event] to the gateway [to]. */
    fun send(to: InstanceId, event: SyncEvent) {
        val peer = processes.first { it.host.name == to }
        carry { peer.host.bound { peer.handle(event) }() }
    }

    /** Checks a configuration that [process] puts into effect in place of [before]. */
    fun checkApplied(process: SpreadProcess, before: Long, root: ConfigurationRoot, sections: Map<String, String>) {
        note { "${process.host.incarnation} applies revision ${root.revision}" }
        val name = process.host.incarnation
        if (root.revision <= before) violate("I11", "$name above revision $before", "revision ${root.revision}")
        if (root != accepted[root.revision]) violate("I11", "an accepted root", "$root")
        val whole = root.sections.all { texts[it.hash] == sections[it.hash] && it.hash in sections }
        if (!whole) violate("I11", "all sections of revision ${root.revision}", "${sections.keys}")
    }

    override fun check() {
        // Each configuration is checked when it is put into effect.
    }

    override val settleMillis: Long get() = IN_EFFECT_MILLIS

    override fun calm() {
        super.calm()
        roots.calm()
        processes.forEach { it.host.resume() }
    }

    override fun checkSettled() {
        val behind = processes.filter { it.appliedRevision != latest }
        if (behind.isEmpty()) return
        violate("I11", "revision $latest everywhere", behind.joinToString { "${it.host.name} ${it.appliedRevision}" })
    }

    private fun change() {
        scheduler.after(chance.between(1, LONGEST_GAP_MILLIS)) {
            if (hazards != Hazards.None || latest == 0L) publish()
            change()
        }
    }

    /** The operators' program writes sections first and then the root; it retries until the root is stored. */
    private fun publish() {
        if (!roots.up) return
        val revision = latest + 1
        val sections = listOf("models", "zones").map { name ->
            ConfigurationSection(name, "$name of revision ${if (chance.happens(HALF)) revision else revision / 2}")
        }
        sections.forEach { texts[it.reference.hash] = it.text }
        val references = sections.map { SectionReference(it.name, it.reference.hash) }
        val root = ConfigurationRoot(revision, "operator-$revision", references)
        accepted[revision] = root
        latest = revision
        roots.put("root", root, root.writeId)
    }

    companion object {
        const val GATEWAYS = 6

        /** The bound of I11 at the current scale. */
        private const val IN_EFFECT_MILLIS = 5_000L
        private const val HALF = 0.5
        private const val LONGEST_GAP_MILLIS = 6_000L
    }
}
