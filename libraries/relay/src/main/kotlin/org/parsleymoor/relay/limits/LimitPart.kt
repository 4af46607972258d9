package org.parsleymoor.relay.limits

/** One instance's part of a limit: [perSecond] requests, of which [burst] may be sent at once after a pause. */
internal data class LimitPart(val perSecond: Double, val burst: Double)
