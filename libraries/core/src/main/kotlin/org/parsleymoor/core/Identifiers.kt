package org.parsleymoor.core

import kotlinx.serialization.Serializable

/** Identifies a back end: a model replica, an application replica or a KV cache store. */
@Serializable
@JvmInline
public value class EndpointId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a tenant whose requests and cached contexts are kept separate from those of every other tenant. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a machine that runs a gateway. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an availability zone. */
@Serializable
@JvmInline
public value class ZoneId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a region, which contains one or more availability zones. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a model by the name that callers use in requests. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one version of a model's weights; cached blocks are valid for exactly one version. */
@Serializable
@JvmInline
public value class WeightVersion(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an adapter on top of a model's weights; the empty value means none. */
@Serializable
@JvmInline
public value class AdapterId(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** The base model without an adapter. */
        public val None: AdapterId = AdapterId("")
    }
}

/** Identifies a caller's request across all hops. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one attempt to run a request at one endpoint. */
@Serializable
@JvmInline
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}

/** One start of an instance's process; [startMillis] is in milliseconds since the epoch. */
@Serializable
public data class Incarnation(public val instance: InstanceId, public val startMillis: Long) {
    override fun toString(): String = "$instance@$startMillis"
}
