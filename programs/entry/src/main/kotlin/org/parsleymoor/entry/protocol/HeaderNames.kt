package org.parsleymoor.entry.protocol

/** Names of the header fields that callers send with a request. */
public data class CallerHeaders(
    /** Id of one attempt of a caller; endpoints echo it. */
    public val attemptId: String,
    /** How many milliseconds the caller waits. */
    public val deadlineMillis: String,
    /** The API key, after [keyScheme] and a space. */
    public val key: String,
    public val keyScheme: String,
    public val model: String,
    /** Prompt tokens and the most output tokens. */
    public val tokenUsage: String,
    /** The parts of the prompt in order. */
    public val promptParts: String,
    /** The last event of a stream that the caller has. */
    public val lastEventId: String,
    public val retryAfter: String,
)

/** Names of the header fields that the system itself sets on requests to endpoints; a caller's own are dropped. */
public data class SystemHeaders(
    public val organisation: String,
    /** Another endpoint than the one named here refuses the request. */
    public val expectedEndpoint: String,
    /** An endpoint with other weights refuses the request. */
    public val expectedWeights: String,
    public val cacheNamespace: String,
    /** Rank at the engine, 0 first. */
    public val urgency: String,
    /** Where an engine fetches the parts that it lacks, one address or one for each part. */
    public val cacheSource: String,
    /** Where an engine saves the parts, one address for each. */
    public val cacheTarget: String,
    /** When an engine gives a fetch up and reads the parts itself, on the engines' clock. */
    public val cacheUntil: String,
    /** Further fields that a caller must not set. */
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
    /** Proves that the response is the endpoint's. */
    public val seal: String,
    /** States that the endpoint did not run the request. */
    public val notRun: String,
    /** Running requests, waiting requests and slots. */
    public val load: String,
    public val endpoint: String,
    public val coldMillis: String,
    /** The version of the weights that a response was made with. */
    public val weights: String,
)

/** All header names of the protocol that this deployment speaks. */
public data class HeaderNames(
    public val caller: CallerHeaders,
    public val system: SystemHeaders,
    public val endpoint: EndpointHeaders,
)
