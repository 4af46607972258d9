package org.parsleymoor.execution.atmostonce

/** How long claims are kept, in [millis]; changed when another configuration comes into effect. */
internal class ClaimRetention(var millis: Long)
