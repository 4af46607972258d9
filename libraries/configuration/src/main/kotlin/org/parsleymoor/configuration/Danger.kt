package org.parsleymoor.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A valid change that may disrupt the service; it is applied only if the operator confirms it. */
@Serializable
public sealed interface Danger {
    /** The consequence of the change, for the operator. */
    public val effect: String

    /** No zone is in service after the change. */
    @Serializable
    @SerialName("last-zone")
    public data class LastZone(public val zones: List<String>) : Danger {
        override val effect: String
            get() = "takes the last zone in service out (${zones.joinToString()}): every request is refused"
    }

    /** None of the [matched] endpoints of [item] takes new work after the change. */
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

    /** The selector matches all [count] endpoints of its kind. */
    @Serializable
    @SerialName("matches-all")
    public data class MatchesAll(
        public val subject: String,
        public val selector: String,
        public val count: Int,
    ) : Danger {
        override val effect: String get() = "the selector \"$selector\" of $subject matches all $count endpoints"
    }

    /** The remaining engines can run only [places] requests at once, fewer than the current [requests]. */
    @Serializable
    @SerialName("capacity")
    public data class Capacity(public val model: String, public val requests: Int, public val places: Int) : Danger {
        override val effect: String
            get() = "leaves $places places for model $model, which has $requests requests now: " +
                "${requests - places} wait or are refused"
    }

    /** An endpoint that takes new work is removed without being drained first. */
    @Serializable
    @SerialName("removed-in-service")
    public data class RemovedInService(public val endpoint: String) : Danger {
        override val effect: String
            get() = "removes endpoint $endpoint while it is in service: its running requests are moved or lost"
    }

    /** New requests use another version immediately; engines refuse them until they have loaded it. */
    @Serializable
    @SerialName("version-switched")
    public data class VersionSwitched(
        public val model: String,
        public val before: String,
        public val after: String,
    ) : Danger {
        override val effect: String
            get() = "switches model $model from version $before to $after without a rollout: its cached context is lost"
    }

    /** Only [loaded] of [engines] engines have loaded the version that new requests will use. */
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

    /** The organisation is removed, so its callers are refused. */
    @Serializable
    @SerialName("organisation-removed")
    public data class OrganisationRemoved(public val organisation: String) : Danger {
        override val effect: String get() = "removes organisation $organisation: its callers are refused"
    }
}
