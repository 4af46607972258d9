package org.parsleymoor.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.combine
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.parsleymoor.core.Failure
import org.parsleymoor.core.sha256Hex

/**
 * The object `configuration/root`. A set of changes takes effect by one conditional update of this object. A writer
 * that lost the response finds its [writeId] when it reads the object back. [recent] holds the latest changes,
 * newest first; the first one created this revision.
 */
@Serializable
public data class ConfigurationRoot(
    public val revision: Long,
    public val writeId: String,
    public val sections: List<SectionReference>,
    public val recent: List<ChangeRecord> = emptyList(),
) {
    /** Returns the JSON text that is stored in the platform. */
    public fun toJson(): String = ConfigurationJson.encodeToString(serializer(), this)

    public companion object {
        /** The object kind of the root and of every section. */
        public const val KIND: String = "configuration"

        /** The name of the root object. */
        public const val NAME: String = "root"

        /** The size of [recent]: a writer that lost the response can find its write after this many changes. */
        public const val RECENT_CHANGES: Int = 20

        /** The root before the first change. */
        public val Empty: ConfigurationRoot = ConfigurationRoot(0, "", emptyList())

        /** Decodes the JSON text of a root; invalid text is [SectionFailure.Unreadable]. */
        public fun parse(text: String): Result<ConfigurationRoot, SectionFailure> = try {
            Ok(ConfigurationJson.decodeFromString(serializer(), text))
        } catch (cause: SerializationException) {
            Err(SectionFailure.Unreadable(NAME, cause.message.orEmpty()))
        }
    }
}

/** A change of the configuration, which created [revision]. */
@Serializable
public data class ChangeRecord(
    public val revision: Long,
    public val writeId: String,
    public val author: String,
    public val change: String,
    public val atMillis: Long,
)

/** The name of a section and the SHA-256 digest (lower-case hexadecimal) of its text. */
@Serializable
public data class SectionReference(public val name: String, public val hash: String) {
    /** The name of the section's object in the platform. The object is immutable: its name contains its hash. */
    public val objectName: String get() = "section.$hash"
}

/** A section of the configuration as JSON [text]. */
public data class ConfigurationSection(public val name: String, public val text: String) {
    /** The reference to this section in the root. */
    public val reference: SectionReference by lazy { SectionReference(name, text.encodeToByteArray().sha256Hex()) }
}

/** Why a configuration could not be assembled from its root and sections. */
public sealed interface SectionFailure : Failure {
    /** The caller does not have a section that the root refers to. */
    public data class Missing(public val reference: SectionReference) : SectionFailure {
        override val message: String
            get() = "expected the text of section ${reference.name} with hash ${reference.hash}, found nothing"
    }

    /** The hash of the text differs from the one in the root. */
    public data class HashMismatch(
        public val reference: SectionReference,
        public val foundHash: String
    ) : SectionFailure {
        override val message: String
            get() = "section ${reference.name}: expected hash ${reference.hash}, found $foundHash"
    }

    /** The text is not valid JSON of a root or section. */
    public data class Unreadable(public val name: String, public val cause: String) : SectionFailure {
        override val message: String get() = "$name: expected a JSON configuration section, found: $cause"
    }
}

/** The content of a section; only one of the properties is set. */
@Serializable
internal data class SectionContent(
    val zones: List<ZoneDeclaration> = emptyList(),
    val endpoints: List<EndpointDeclaration> = emptyList(),
    val organisations: List<OrganisationDeclaration> = emptyList(),
    val models: List<ModelDeclaration> = emptyList(),
    val services: List<ServiceDeclaration> = emptyList(),
    val limits: LimitsDeclaration? = null,
    val rollouts: List<RolloutDeclaration> = emptyList(),
)

/** Sorts every list by name, so that equal configurations have equal sections. */
public fun Configuration.sorted(): Configuration = copy(
    zones = zones.sortedBy { it.name.value },
    endpoints = endpoints.sortedBy { it.name.value },
    organisations = organisations.sortedBy { it.name.value },
    models = models.sortedBy { it.name.value },
    services = services.sortedBy { it.name },
    rollouts = rollouts.sortedBy { it.name },
)

/**
 * Splits the configuration into sections: one for the endpoints of each zone, [ORGANISATION_SECTIONS] for organisations
 * and one for each other list. A change of one item rewrites one section, which is far smaller than a megabyte.
 */
public fun Configuration.toSections(): List<ConfigurationSection> {
    val sorted = sorted()
    val endpoints = sorted.endpoints.groupBy { it.zone.value }.toSortedMap()
        .map { (zone, list) -> section("endpoints.$zone", SectionContent(endpoints = list)) }
    val organisations = sorted.organisations.groupBy { organisationSection(it.name.value) }.toSortedMap()
        .map { (name, list) -> section(name, SectionContent(organisations = list)) }
    return listOf(
        section("limits", SectionContent(limits = sorted.limits)),
        section("zones", SectionContent(zones = sorted.zones)),
        section("models", SectionContent(models = sorted.models)),
        section("services", SectionContent(services = sorted.services)),
        section("rollouts", SectionContent(rollouts = sorted.rollouts)),
    ) + endpoints + organisations
}

/**
 * Assembles the configuration from the sections that [root] refers to. [text] returns the text of a section, or null if
 * the caller does not have it. The hash of every text is verified.
 */
public fun assembleConfiguration(
    root: ConfigurationRoot,
    text: (SectionReference) -> String?,
): Result<Configuration, SectionFailure> = root.sections.map { readSection(it, text(it)) }.combine()
    .map { mergeSections(root.revision, it) }

private fun readSection(reference: SectionReference, text: String?): Result<SectionContent, SectionFailure> {
    val hash = text?.encodeToByteArray()?.sha256Hex()
    return when {
        text == null || hash == null -> Err(SectionFailure.Missing(reference))
        hash != reference.hash -> Err(SectionFailure.HashMismatch(reference, hash))
        else -> decodeSection(reference.name, text)
    }
}

private fun decodeSection(name: String, text: String): Result<SectionContent, SectionFailure> = try {
    Ok(ConfigurationJson.decodeFromString(SectionContent.serializer(), text))
} catch (cause: SerializationException) {
    Err(SectionFailure.Unreadable(name, cause.message.orEmpty()))
}

private fun mergeSections(revision: Long, contents: List<SectionContent>): Configuration = Configuration(
    revision = revision,
    zones = contents.flatMap { it.zones },
    endpoints = contents.flatMap { it.endpoints },
    organisations = contents.flatMap { it.organisations },
    models = contents.flatMap { it.models },
    services = contents.flatMap { it.services },
    limits = contents.firstNotNullOfOrNull { it.limits } ?: LimitsDeclaration(),
    rollouts = contents.flatMap { it.rollouts },
).sorted()

private fun section(name: String, content: SectionContent): ConfigurationSection =
    ConfigurationSection(name, ConfigurationJson.encodeToString(SectionContent.serializer(), content))

private fun organisationSection(name: String): String = "organisations.${name.encodeToByteArray().sha256Hex().first()}"

/** The number of sections for organisations, one per first hexadecimal digit of the hash of their names. */
public const val ORGANISATION_SECTIONS: Int = 16

private val ConfigurationJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}
