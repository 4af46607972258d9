package org.parsleymoor.entry.serving

import org.parsleymoor.core.RegionId

/**
 * Where a send may go and, for a prompt, with whom it may share cached blocks: an [isolated] one shares none with other
 * organisations, and one that is not shares them within [isolationTag]. It has to satisfy each set of [allowedRegions].
 */
internal data class SendScope(
    val isolated: Boolean,
    val isolationTag: String,
    val allowedRegions: List<Set<RegionId>>,
)

/**
 * Returns the scope of a send of [pending] now. A request may be sent long after it was accepted, in a retry or the
 * resumption of a stream. What restricts it holds if the configuration with which it was accepted says so or the one in
 * force does; the tag is that of the one in force, which all other sends of this moment use. An organisation that no
 * longer exists counts as isolated.
 */
internal fun DeploymentView.sendScope(pending: PendingRequest): SendScope {
    val accepted = pending.organisation
    val current = accepted?.let { routes?.organisation(it.id) }
    val currentRoute = routes?.routeNamed(pending.route.name)
    val cached = pending.prompt != null
    return SendScope(
        isolated = cached && accepted != null && (accepted.isolated || current == null || current.isolated),
        isolationTag = if (cached) routes?.isolationTag.orEmpty() else "",
        allowedRegions = listOfNotNull(
            pending.route.allowedRegions,
            accepted?.allowedRegions,
            currentRoute?.allowedRegions,
            current?.allowedRegions,
        ).filter { it.isNotEmpty() }.distinct(),
    )
}
