package org.parsleymoor.clients

import kotlinx.serialization.Serializable
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.ZoneId

/** The answer of a gateway to `GET /status`. [revision] is the configuration in effect there, 0 for none. */
@Serializable
public data class GatewayStatus(
    public val instance: InstanceId,
    public val zone: ZoneId,
    public val startMillis: Long,
    public val revision: Long,
    public val ready: Boolean,
    public val leaving: Boolean = false,
    public val models: List<ModelTraffic> = emptyList(),
    public val endpoints: List<EndpointStatus> = emptyList(),
    public val orders: OrderStatus = OrderStatus(),
    public val rollouts: List<RolloutStatus> = emptyList(),
)

/** The requests of a model that one gateway holds now. */
@Serializable
public data class ModelTraffic(public val model: ModelId, public val running: Int, public val queued: Int)

/** What a gateway knows of an endpoint; [reportAgeMillis] is the age of the load report behind it. */
@Serializable
public data class EndpointStatus(
    public val endpoint: EndpointId,
    public val suspect: Boolean = false,
    public val cold: Boolean = false,
    public val running: Int = 0,
    public val queued: Int = 0,
    public val versions: List<LoadedVersion> = emptyList(),
    public val reportAgeMillis: Long = 0,
)

/** The body of `POST /configuration`: a root and the texts of its sections by content hash, all as JSON text. */
@Serializable
public data class ConfigurationOffer(public val root: String, public val sections: Map<String, String>)

/** The answer to [ConfigurationOffer]: the revision in effect after it, which is never lower than before. */
@Serializable
public data class ConfigurationInEffect(public val instance: InstanceId, public val revision: Long)

/** The answer to `GET /requests/{id}`: what one gateway did with a request, in order. */
@Serializable
public data class RequestHistory(public val request: RequestId, public val steps: List<RequestStep>)

/** A step of a request. [subject] is what was chosen or refused, such as an endpoint; [reason] says why. */
@Serializable
public data class RequestStep(
    public val atMillis: Long,
    public val instance: InstanceId,
    public val kind: RequestStepKind,
    public val subject: String,
    public val reason: String,
)

/** What happened to a request in a [RequestStep]. */
@Serializable
public enum class RequestStepKind {
    RECEIVED,
    ADMITTED,
    QUEUED,
    PLACED,
    FORWARDED,
    IMPORTED,
    IMPORT_FAILED,
    ATTEMPTED,
    RESUMED,
    REFUSED,
    FINISHED,
}
