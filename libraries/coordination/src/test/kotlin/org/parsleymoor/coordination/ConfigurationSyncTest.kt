package org.parsleymoor.coordination

import org.junit.jupiter.api.Test
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.ConfigurationSection
import org.parsleymoor.core.InstanceId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

class ConfigurationSyncTest {
    private val self = InstanceId("gateway-1")
    private val peer = InstanceId("gateway-2")
    private val section = ConfigurationSection("zones", "{}")
    private val texts = mapOf(section.reference.hash to section.text)
    private val sync = ConfigurationSync(self)

    /** Guards against applying a configuration that was only partly read. */
    @Test
    fun `a configuration is applied only with all its sections`() {
        expectThat(applied(0, SyncEvent.PlatformRoot(root(1)))).isEmpty()

        val applied = applied(10, SyncEvent.PlatformSection(section.reference.hash, section.text))

        expectThat(applied).single().isEqualTo(SyncAction.Apply(root(1), texts))
    }

    /** Guards against a section that was altered in transit. */
    @Test
    fun `a section with another hash is not used`() {
        applied(0, SyncEvent.PlatformRoot(root(1)))

        expectThat(applied(10, SyncEvent.PlatformSection(section.reference.hash, "altered"))).isEmpty()
    }

    /** Guards against a late or reordered read that reverts the configuration. */
    @Test
    fun `a lower revision is never applied`() {
        applied(0, SyncEvent.PlatformRoot(root(5)))
        applied(10, SyncEvent.PlatformSection(section.reference.hash, section.text))

        expectThat(applied(20, SyncEvent.PeerOffers(peer, root(4), texts))).isEmpty()
    }

    /** Guards against a gateway that stays behind its peers while the platform is down. */
    @Test
    fun `a gateway that is behind asks the peer that is ahead`() {
        connect()
        applied(0, SyncEvent.PeerOffers(peer, root(1), texts))
        applied(2_000, SyncEvent.Tick)

        val actions = sync.handle(3_000, SyncEvent.PeerRevision(peer, 2))

        expectThat(actions).contains(SyncAction.AskPeer(peer, 1, emptyList()))
    }

    /** Guards against a new instance that starts with the revision of a peer that is behind. */
    @Test
    fun `without the platform a new instance takes the highest revision of its peers`() {
        connect()
        sync.handle(100, SyncEvent.PlatformFailed)
        sync.handle(200, SyncEvent.PeerOffers(peer, root(3), texts))
        sync.handle(300, SyncEvent.PeerOffers(InstanceId("gateway-3"), root(4), texts))

        val applied = applied(2_100, SyncEvent.Tick)

        expectThat(applied).single().get { root.revision }.isEqualTo(4)
    }

    /** Guards against accepting requests without a configuration. */
    @Test
    fun `without platform and peers no configuration is in effect`() {
        (0..100).forEach { sync.handle(it * 100L, SyncEvent.PlatformFailed) }

        expectThat(sync.appliedRevision).isEqualTo(0)
    }

    /** Guards against a watch that goes silent without an error. */
    @Test
    fun `a silent watch is replaced`() {
        sync.handle(0, SyncEvent.Members(listOf(self), emptySet()))
        sync.handle(100, SyncEvent.WatchActivity)

        val actions = sync.handle(3_200, SyncEvent.Tick)

        expectThat(actions).contains(SyncAction.OpenWatch)
    }

    private fun connect() {
        sync.handle(0, SyncEvent.Members(listOf(self, peer), setOf(peer, InstanceId("gateway-3"))))
    }

    private fun applied(nowMillis: Long, event: SyncEvent): List<SyncAction.Apply> =
        sync.handle(nowMillis, event).filterIsInstance<SyncAction.Apply>()

    private fun root(revision: Long): ConfigurationRoot =
        ConfigurationRoot(revision, "write-$revision", listOf(section.reference))
}
