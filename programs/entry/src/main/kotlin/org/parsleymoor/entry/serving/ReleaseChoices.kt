package org.parsleymoor.entry.serving

import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.release.ReleaseTable
import org.parsleymoor.relay.release.choices
import org.parsleymoor.relay.release.takesTarget

/** Returns which endpoints [pending] may go to while the traffic of its service moves, in the order to be tried. */
internal fun ReleaseTable.choicesFor(pending: PendingRequest, nowMillis: Long): List<(EndpointState) -> Boolean> {
    val service = pending.service.name
    val toTarget = pending.toTargetRelease
        ?: takesTarget(service, nowMillis).also { pending.toTargetRelease = it }
    // A request that failed at the target does not take from what may be sent there.
    return choices(service, toTarget && pending.tried.isEmpty(), nowMillis)
}

/** Returns the choice among the first of these kinds of endpoints that has one to choose, or else of the last. */
internal fun List<(EndpointState) -> Boolean>.firstSelected(choose: ((EndpointState) -> Boolean) -> Choice): Choice {
    val choice = choose(first())
    return if (size == 1 || choice !is Choice.None) choice else drop(1).firstSelected(choose)
}
