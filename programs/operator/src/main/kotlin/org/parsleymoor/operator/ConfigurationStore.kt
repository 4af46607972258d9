package org.parsleymoor.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.clients.PlatformFailure
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.configuration.ChangeRecord
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.ConfigurationSection
import org.parsleymoor.configuration.SectionReference
import org.parsleymoor.configuration.assembleConfiguration
import org.parsleymoor.configuration.toSections
import org.parsleymoor.core.Clock
import java.util.UUID

/** The configuration that the platform holds, with the [version] of its root object and the texts of its sections. */
internal data class StoredConfiguration(
    val version: Long,
    val root: ConfigurationRoot,
    val configuration: Configuration,
    val texts: Map<String, String>,
)

/** Reads and conditionally changes the configuration in the platform. */
internal class ConfigurationStore(
    private val platform: PlatformClient,
    private val author: String,
    private val clock: Clock = Clock.System,
    private val newWriteId: () -> String = { UUID.randomUUID().toString() },
) {
    /** Reads the root and its sections; before the first change, the empty configuration of revision 0. */
    suspend fun read(): Result<StoredConfiguration, OperatorFailure> = readRoot().andThen { (version, root) ->
        val texts = mutableMapOf<String, String>()
        for (reference in root.sections) {
            val stored = platform.read(ConfigurationRoot.KIND, reference.objectName)
                .getOrElse { return Err(OperatorFailure.Unreachable(it)) }
            if (stored != null) texts[reference.hash] = stored.value
        }
        assembleConfiguration(root) { texts[it.hash] }
            .mapError { OperatorFailure.Unreachable(it) }
            .map { StoredConfiguration(version, root, it, texts) }
    }

    /**
     * Makes [after] the configuration if the root is still that of [current]: writes the sections that are new, then
     * the root. Returns the accepted form to offer to gateways, or a conflict that names the other change.
     */
    suspend fun change(
        current: StoredConfiguration,
        after: Configuration,
        change: String,
    ): Result<ConfigurationOffer, OperatorFailure> {
        val sections = after.toSections()
        val known = current.root.sections.map { it.hash }.toSet()
        for (section in sections.filter { it.reference.hash !in known }) {
            writeSection(section).getOrElse { return Err(it) }
        }
        val root = nextRoot(current.root, sections.map { it.reference }, change)
        return writeRoot(current, root).map {
            ConfigurationOffer(root.toJson(), sections.associate { it.reference.hash to it.text })
        }
    }

    private suspend fun readRoot(): Result<Pair<Long, ConfigurationRoot>, OperatorFailure> =
        platform.read(ConfigurationRoot.KIND, ConfigurationRoot.NAME)
            .mapError { OperatorFailure.Unreachable(it) }
            .andThen { rootOf(it) }

    private fun rootOf(stored: StoredObject?): Result<Pair<Long, ConfigurationRoot>, OperatorFailure> {
        if (stored == null) return Ok(0L to ConfigurationRoot.Empty)
        return ConfigurationRoot.parse(stored.value)
            .mapError { OperatorFailure.Unreachable(it) }
            .map { stored.version to it }
    }

    private fun nextRoot(root: ConfigurationRoot, sections: List<SectionReference>, change: String): ConfigurationRoot {
        val writeId = newWriteId()
        val record = ChangeRecord(root.revision + 1, writeId, author, change, clock.nowMillis())
        val recent = (listOf(record) + root.recent).take(ConfigurationRoot.RECENT_CHANGES)
        return ConfigurationRoot(root.revision + 1, writeId, sections, recent)
    }

    /** A section is named by its hash, so one that exists already has the same text. */
    private suspend fun writeSection(section: ConfigurationSection): Result<Unit, OperatorFailure> {
        val name = section.reference.objectName
        val failure = retryLost { platform.write(ConfigurationRoot.KIND, name, section.text, 0, newWriteId()) }
        return if (failure == null || failure is PlatformFailure.Conflict) {
            Ok(Unit)
        } else {
            Err(OperatorFailure.Unreachable(failure))
        }
    }

    private suspend fun writeRoot(
        current: StoredConfiguration,
        root: ConfigurationRoot,
    ): Result<Unit, OperatorFailure> {
        val failure = retryLost {
            val name = ConfigurationRoot.NAME
            platform.write(ConfigurationRoot.KIND, name, root.toJson(), current.version, root.writeId)
        }
        return when (failure) {
            null -> Ok(Unit)
            is PlatformFailure.Conflict -> resolve(current, root)
            is PlatformFailure.Unavailable ->
                if (failure.mayHaveTakenEffect) resolve(current, root, failure) else notMade(failure)
            is PlatformFailure.Rejected -> notMade(failure)
        }
    }

    private fun notMade(failure: PlatformFailure): Result<Unit, OperatorFailure> =
        Err(OperatorFailure.Unreachable(failure))

    /**
     * Repeats a write whose answer was lost: if it took effect the repetition conflicts, so it is made once. A later
     * failure to connect does not make a lost write undone, so the lost one is returned.
     */
    private suspend fun retryLost(
        attemptsLeft: Int = WRITE_ATTEMPTS - 1,
        write: suspend () -> Result<Long, PlatformFailure>,
    ): PlatformFailure? {
        val failure = write().getError()
        val isLost = failure is PlatformFailure.Unavailable && failure.mayHaveTakenEffect
        if (!isLost || attemptsLeft == 0) return failure
        val repeated = retryLost(attemptsLeft - 1, write)
        return if (repeated is PlatformFailure.Unavailable) failure else repeated
    }

    /** Reads the root back: the write took effect if its id is among the recent changes. */
    private suspend fun resolve(
        current: StoredConfiguration,
        root: ConfigurationRoot,
        lost: PlatformFailure? = null,
    ): Result<Unit, OperatorFailure> {
        val change = root.recent.first().change
        val found = readRoot().getOrElse { return Err(OperatorFailure.Unresolved(change, it)) }.second
        val other = found.recent.firstOrNull { it.revision == root.revision } ?: found.recent.firstOrNull()
        return when {
            found.recent.any { it.writeId == root.writeId } -> Ok(Unit)
            other != null && found.revision > current.root.revision ->
                Err(OperatorFailure.Conflict(current.root.revision, other))
            else -> Err(OperatorFailure.Unresolved(change, lost ?: PlatformFailure.Conflict(current.version, null)))
        }
    }

    private companion object {
        const val WRITE_ATTEMPTS = 3
    }
}
