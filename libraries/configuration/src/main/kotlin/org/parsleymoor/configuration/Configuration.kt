package org.parsleymoor.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId

/**
 * Everything that operators declare, at one [revision]. Names are unique within each list and every reference names a
 * declared item; [DeclarationReader] and [checkConfiguration] enforce both.
 */
@Serializable
public data class Configuration(
    public val revision: Long = 0,
    public val zones: List<ZoneDeclaration> = emptyList(),
    public val endpoints: List<EndpointDeclaration> = emptyList(),
    public val organisations: List<OrganisationDeclaration> = emptyList(),
    public val models: List<ModelDeclaration> = emptyList(),
    public val services: List<ServiceDeclaration> = emptyList(),
    public val limits: LimitsDeclaration = LimitsDeclaration(),
    public val rollouts: List<RolloutDeclaration> = emptyList(),
)

/** Whether new work may be sent to an availability zone or an endpoint. */
@Serializable
public enum class PlacementState {
    @SerialName("in")
    IN,

    @SerialName("drain")
    DRAIN,

    @SerialName("out")
    OUT,
}

/** An availability zone and its region. */
@Serializable
public data class ZoneDeclaration(
    public val name: ZoneId,
    public val region: RegionId,
    public val state: PlacementState = PlacementState.IN,
    public val labels: Map<String, String> = emptyMap(),
)

/** The kind of an endpoint: a model replica (engine), an application replica or a KV cache store. */
@Serializable
public enum class EndpointKind {
    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE,

    @SerialName("store")
    STORE,
}

/** An endpoint at [address] (`host:port`) in [zone]. */
@Serializable
public data class EndpointDeclaration(
    public val name: EndpointId,
    public val kind: EndpointKind,
    public val address: String,
    public val zone: ZoneId,
    public val state: PlacementState = PlacementState.IN,
    public val labels: Map<String, String> = emptyMap(),
)

/**
 * An organisation, the SHA-256 digests (lower-case hexadecimal) of its bearer keys, and its [weight] in fair
 * queueing. [priority] is passed to engines; a higher value is served first.
 */
@Serializable
public data class OrganisationDeclaration(
    public val name: OrganisationId,
    public val keyDigests: List<String>,
    public val weight: Int = 1,
    public val priority: Int = 0,
    public val labels: Map<String, String> = emptyMap(),
)

/** A model, the weight [version] for new requests and the [selector] of the engines that may serve it. */
@Serializable
public data class ModelDeclaration(
    public val name: ModelId,
    public val version: WeightVersion,
    public val selector: String = "",
    public val labels: Map<String, String> = emptyMap(),
)

/** A group of application replicas chosen by [selector]. If [repeatable], any of its calls may be retried. */
@Serializable
public data class ServiceDeclaration(
    public val name: String,
    public val selector: String,
    public val repeatable: Boolean = false,
)

/** Limits of the whole deployment. Counts without a unit in their name are requests. */
@Serializable
public data class LimitsDeclaration(
    public val queueLength: Int = 1_000,
    public val queueLengthPerOrganisation: Int = 400,
    public val concurrentPerEngine: Int = 16,
    public val requestDeadlineMillis: Long = 120_000,
    public val maximumBodyBytes: Int = 4_194_304,
    public val coldLimit: Int = 2,
    public val coldAnswers: Int = 20,
    public val coldMillis: Long = 30_000,
    public val regionLinkBytesPerSecond: Long = 2_500_000,
    public val claimRetentionHours: Int = 168,
)

/** Updates the engines chosen by [selector] to [version] of [model], at most [concurrent] at a time. */
@Serializable
public data class RolloutDeclaration(
    public val name: String,
    public val model: ModelId,
    public val version: WeightVersion,
    public val selector: String = "",
    public val concurrent: Int = 2,
)
