package org.parsleymoor.entry.protocol

/** Names of the header fields that callers send with a request. */
public data class CallerHeaders(
    /** Id of one attempt of a caller, which endpoints echo in their response. */
    public val attemptId: String,
    /** How long the caller waits, in milliseconds. */
    public val deadlineMillis: String,
    /** API key, preceded by [keyScheme] and a space. */
    public val key: String,
    public val keyScheme: String,
    public val model: String,
    /** Number of prompt tokens and the maximum number of output tokens. */
    public val tokenUsage: String,
    /** The parts of the prompt, in order. */
    public val promptParts: String,
    /** Id of the last event of a stream that was received. */
    public val lastEventId: String,
    public val retryAfter: String,
)

/** Names of the header fields that only this system may set on requests to endpoints; callers' values are dropped. */
public data class SystemHeaders(
    public val organisation: String,
    /** Name of the endpoint that the request is for; any other refuses it. */
    public val expectedEndpoint: String,
    /** Version of the weights that the request is for; an endpoint with another version refuses it. */
    public val expectedWeights: String,
    public val cacheNamespace: String,
    /** Priority in the engine's queue; 0 is the highest. */
    public val urgency: String,
    /** Where an engine fetches missing prompt parts from: one address, or one for each part. */
    public val cacheSource: String,
    /** Where an engine saves the prompt parts, one address for each. */
    public val cacheTarget: String,
    /** Deadline of the fetch, on the engines' clock; after it the engine prefills the parts itself. */
    public val cacheUntil: String,
    /** Other fields that callers must not set. */
    public val reserved: Set<String>,
) {
    /** Lower-case names of all these fields. */
    public val all: Set<String> = (
        reserved + setOf(
            organisation, expectedEndpoint, expectedWeights, cacheNamespace, urgency, cacheSource, cacheTarget,
            cacheUntil,
        )
        ).map { it.lowercase() }.toSet()
}

/** Names of the header fields that endpoints set on responses. */
public data class EndpointHeaders(
    /** Shows that the response was made by the endpoint. */
    public val seal: String,
    /** States that the endpoint did not run the request. */
    public val notRun: String,
    /** Number of running requests, of waiting requests, and of slots. */
    public val load: String,
    public val endpoint: String,
    public val coldMillis: String,
    /** Version of the weights that the response was made with. */
    public val weights: String,
    /** Present, other than as 0, if the endpoint leaves. */
    public val leaving: String,
    /** With status 503, the seconds for which the endpoint wants nothing from this instance. */
    public val pause: String,
    /** The requests a second that the endpoint takes from all instances together, as long as its responses say so. */
    public val limit: String,
)

/** All header names of a deployment's protocol. */
public data class HeaderNames(
    public val caller: CallerHeaders,
    public val system: SystemHeaders,
    public val endpoint: EndpointHeaders,
)
