package org.parsleymoor.clients

import kotlinx.serialization.Serializable
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.ZoneId

/** Response to `GET /status`. [revision] is the revision of the configuration in effect, or 0 if there is none. */
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

/** The current requests for a model on one gateway. */
@Serializable
public data class ModelTraffic(public val model: ModelId, public val running: Int, public val queued: Int)

/** A gateway's view of an endpoint, from a load report that is [reportAgeMillis] old. */
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

/** Body of `POST /configuration`: the root as JSON text and the JSON texts of its sections by content hash. */
@Serializable
public data class ConfigurationOffer(public val root: String, public val sections: Map<String, String>)

/** Response to a [ConfigurationOffer]: the revision now in effect, which never decreases. */
@Serializable
public data class ConfigurationInEffect(public val instance: InstanceId, public val revision: Long)

/** Response to `GET /requests/{id}`: the steps of a request on one gateway, in order. */
@Serializable
public data class RequestHistory(public val request: RequestId, public val steps: List<RequestStep>)

/** A step of a request. [subject] is what the step is about, such as an endpoint; [reason] explains it. */
@Serializable
public data class RequestStep(
    public val atMillis: Long,
    public val instance: InstanceId,
    public val kind: RequestStepKind,
    public val subject: String,
    public val reason: String,
)

/** The kind of a [RequestStep]. */
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
