package org.parsleymoor.gateway.control

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.clients.WatchEvent
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.assembleConfiguration
import org.parsleymoor.coordination.ConfigurationSync
import org.parsleymoor.coordination.SyncAction
import org.parsleymoor.coordination.SyncEvent
import org.parsleymoor.core.Clock
import org.parsleymoor.core.FailureException
import org.parsleymoor.core.InstanceId
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.peering.PeerMessage

/** Sends messages to connected peers. */
internal fun interface PeerSender {
    /** Queues [message] for [peer]; it is dropped when the peer is not connected. */
    suspend fun send(peer: InstanceId, message: PeerMessage)
}

/**
 * Executes the actions of [ConfigurationSync]: watches and reads the platform, requests configurations from peers,
 * answers their requests and applies complete configurations. Without a platform the configuration comes only from
 * peers and the operators' program.
 */
internal class ConfigurationControl(
    self: InstanceId,
    private val platform: PlatformClient?,
    private val holder: ConfigurationHolder,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val peers: PeerSender,
) {
    private val lock = Any()
    private val sync = ConfigurationSync(self)

    @Volatile
    private var watch: Job? = null

    /** Keeps the configuration up to date until the scope ends. */
    fun start() {
        holder.onOffer = { root, sections -> handle(SyncEvent.PeerOffers(null, root, sections)) }
        scope.launch {
            while (true) {
                handle(SyncEvent.Tick)
                delay(TICK_MILLIS)
            }
        }
    }

    /** Handles [event] and starts the resulting actions. */
    fun handle(event: SyncEvent) {
        val actions = synchronized(lock) { sync.handle(clock.nowMillis(), event) }
        actions.forEach { perform(it) }
    }

    private fun perform(action: SyncAction) {
        when (action) {
            is SyncAction.Apply -> apply(action)
            is SyncAction.OpenWatch -> openWatch()
            is SyncAction.CloseWatch -> watch?.cancel()
            is SyncAction.ReadRoot -> platform?.let { scope.launch { readRoot(it) } }
            is SyncAction.ReadSection -> platform?.let { scope.launch { readSection(it, action.hash) } }
            is SyncAction.AskPeer -> scope.launch {
                peers.send(action.peer, PeerMessage.ConfigurationWanted(action.haveRevision, action.sections))
            }
            is SyncAction.OfferPeer -> scope.launch { peers.send(action.peer, offer(action)) }
        }
    }

    private fun apply(action: SyncAction.Apply) {
        assembleConfiguration(action.root) { action.sections[it.hash] }
            .onFailure { logger.error { "cannot apply configuration revision ${action.root.revision}: ${it.message}" } }
            .get()?.let { holder.accept(it) }
    }

    private fun openWatch() {
        watch?.cancel()
        val source = platform ?: return
        watch = scope.launch {
            try {
                source.watch(ConfigurationRoot.KIND, 0).collect { onWatchEvent(it) }
            } catch (cause: FailureException) {
                logger.warn { "configuration watch ended: ${cause.failure.message}" }
            }
            handle(SyncEvent.WatchEnded)
        }
    }

    private fun onWatchEvent(event: WatchEvent) {
        handle(SyncEvent.WatchActivity)
        val stored = (event as? WatchEvent.Changed)?.stored ?: return
        if (stored.name == ConfigurationRoot.NAME) accept(stored.value)
    }

    private suspend fun readRoot(source: PlatformClient) {
        source.read(ConfigurationRoot.KIND, ConfigurationRoot.NAME).fold(
            { if (it == null) handle(SyncEvent.PlatformRoot(null)) else accept(it.value) },
            { handle(SyncEvent.PlatformFailed) },
        )
    }

    private fun accept(text: String) {
        ConfigurationRoot.parse(text)
            .onFailure { logger.error { "cannot apply the configuration root: ${it.message}" } }
            .get()?.let { handle(SyncEvent.PlatformRoot(it)) }
    }

    private suspend fun readSection(source: PlatformClient, hash: String) {
        val text = source.read(ConfigurationRoot.KIND, "$SECTION_PREFIX$hash").get()?.value
        handle(if (text == null) SyncEvent.PlatformFailed else SyncEvent.PlatformSection(hash, text))
    }

    private fun offer(action: SyncAction.OfferPeer) = PeerMessage.ConfigurationOffered(
        revision = action.root?.revision ?: 0,
        root = action.root?.toJson().orEmpty(),
        sections = action.sections,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        const val TICK_MILLIS = 200L
        const val SECTION_PREFIX = "section."
    }
}
