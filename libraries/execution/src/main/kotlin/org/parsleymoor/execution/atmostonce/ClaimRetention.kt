package org.parsleymoor.execution.atmostonce

/** How long claims are kept; changes when another configuration takes effect. */
internal class ClaimRetention(var millis: Long)
