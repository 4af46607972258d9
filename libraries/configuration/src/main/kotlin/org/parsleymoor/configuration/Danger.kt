package org.parsleymoor.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change that is valid but may harm the service; it is made only when the operator confirms it. */
@Serializable
public sealed interface Danger {
    /** What happens when the change is made. */
    public val effect: String

    /** After the change no zone is in service. */
    @Serializable
    @SerialName("last-zone")
    public data class LastZone(public val zones: List<String>) : Danger {
        override val effect: String
            get() = "takes the last zone in service out (${zones.joinToString()}): every request is refused"
    }

    /** After the change the group has no endpoint that takes new work. */
    @Serializable
    @SerialName("none-left")
    public data class NoEndpointLeft(public val item: ItemReference, public val matched: Int) : Danger {
        override val effect: String
            get() = "leaves $item without an endpoint in service ($matched matched): its requests are refused"
    }

    /** The selector matches no endpoint. */
    @Serializable
    @SerialName("matches-nothing")
    public data class MatchesNothing(public val subject: String, public val selector: String) : Danger {
        override val effect: String get() = "the selector \"$selector\" of $subject matches nothing"
    }

    /** The selector matches all [count] endpoints that it could match. */
    @Serializable
    @SerialName("matches-all")
    public data class MatchesAll(
        public val subject: String,
        public val selector: String,
        public val count: Int,
    ) : Danger {
        override val effect: String get() = "the selector \"$selector\" of $subject matches all $count endpoints"
    }

    /** The engines that are left hold fewer requests at once than are in progress now. */
    @Serializable
    @SerialName("capacity")
    public data class Capacity(public val model: String, public val requests: Int, public val places: Int) : Danger {
        override val effect: String
            get() = "leaves $places places for model $model, which has $requests requests now: " +
                "${requests - places} wait or are refused"
    }

    /** An endpoint that takes new work is removed without a drain. */
    @Serializable
    @SerialName("removed-in-service")
    public data class RemovedInService(public val endpoint: String) : Danger {
        override val effect: String
            get() = "removes endpoint $endpoint while it is in service: its running requests are moved or lost"
    }

    /** New requests use another version at once; engines that lack it refuse until it is loaded. */
    @Serializable
    @SerialName("version-switched")
    public data class VersionSwitched(
        public val model: String,
        public val before: String,
        public val after: String,
    ) : Danger {
        override val effect: String
            get() = "switches model $model from version $before to $after with no rollout: its cached context is void"
    }

    /** Only [loaded] of [engines] hold the version that new requests are about to use. */
    @Serializable
    @SerialName("not-loaded")
    public data class NotLoaded(
        public val model: String,
        public val version: String,
        public val loaded: Int,
        public val engines: Int,
    ) : Danger {
        override val effect: String
            get() = "uses version $version of model $model, which $loaded of $engines engines hold: the others get " +
                "no requests until it is loaded"
    }

    /** Callers of the organisation are refused. */
    @Serializable
    @SerialName("organisation-removed")
    public data class OrganisationRemoved(public val organisation: String) : Danger {
        override val effect: String get() = "removes organisation $organisation: its callers are refused"
    }
}
