package org.parsleymoor.relay.stream

/**
 * Complete events that arrived together: their [bytes], the [count] of events among them, and the id of the last event
 * that has one.
 */
public class EventBatch(public val bytes: ByteArray, public val count: Int, public val lastId: String?)
