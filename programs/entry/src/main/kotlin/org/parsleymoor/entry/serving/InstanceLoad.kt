package org.parsleymoor.entry.serving

import org.parsleymoor.relay.limits.HeldBytes

/** What this instance has under way: the [lag] of its event loop, and the messages that it holds. */
internal class InstanceLoad(val lag: EventLoopLag, val held: HeldBytes)
