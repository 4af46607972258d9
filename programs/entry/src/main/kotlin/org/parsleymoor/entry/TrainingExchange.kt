package org.parsleymoor.entry

/** What a training run exchanges with its daemons, in place of the object store, the endpoints and the callers. */
public interface TrainingExchange {
    /** Requests of callers, each with its body; they are sent one after the other on a connection, a few times. */
    public val requests: List<String>

    /** Returns the response of the object store or of an endpoint to the request with [head] and [body]. */
    public fun respond(head: String, body: String): String

    /** Whether a connection is closed after [response]. */
    public fun closesAfter(response: String): Boolean
}
