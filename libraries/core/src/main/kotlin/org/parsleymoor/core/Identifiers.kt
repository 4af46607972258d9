package org.parsleymoor.core

import kotlinx.serialization.Serializable

/** Names a back end: a model replica, an application replica or a KV cache store. */
@Serializable
@JvmInline
public value class EndpointId(public val value: String) {
    override fun toString(): String = value
}

/** Names a tenant whose requests and cached context are kept apart from those of every other tenant. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}

/** Names a machine that runs a gateway. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** Names an availability zone. */
@Serializable
@JvmInline
public value class ZoneId(public val value: String) {
    override fun toString(): String = value
}

/** Names a region, which holds one or more availability zones. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) {
    override fun toString(): String = value
}

/** Names a model as callers request it. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Names one set of weights of a model; cached blocks are valid for exactly one version. */
@Serializable
@JvmInline
public value class WeightVersion(public val value: String) {
    override fun toString(): String = value
}

/** Names an adapter on top of a model's weights; the empty value means none. */
@Serializable
@JvmInline
public value class AdapterId(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** The base model without an adapter. */
        public val None: AdapterId = AdapterId("")
    }
}

/** Names a caller's request across all hops. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Names one try of a request at one endpoint. */
@Serializable
@JvmInline
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}

/** One run of a process: the instance and the time its process started, in milliseconds since the epoch. */
@Serializable
public data class Incarnation(public val instance: InstanceId, public val startMillis: Long) {
    override fun toString(): String = "$instance@$startMillis"
}
