package org.parsleymoor.entry.serving

import org.parsleymoor.relay.routing.Route

/** How long requests of each route usually take. Confined to the event loop. */
internal class RouteDurations {
    private val longestMillis = HashMap<String, Double>()

    /** Records that a request of [route] was answered [millis] after it was received. */
    fun record(route: Route, millis: Long) {
        longestMillis.merge(route.name, millis.toDouble()) { longest, newest -> maxOf(newest, longest * DECAY) }
    }

    /** Forgets all but [routes]. */
    fun retain(routes: List<Route>) {
        longestMillis.keys.retainAll(routes.mapTo(HashSet()) { it.name })
    }

    /** Returns the time within which nearly all recent requests of [route] were answered. */
    fun usualMillis(route: Route): Long =
        longestMillis[route.name]?.toLong() ?: (route.objectiveMillis * UNMEASURED_OBJECTIVES)

    private companion object {
        // A long request is forgotten after about fifty shorter ones.
        const val DECAY = 0.98

        // Callers abandon a stream that has not begun after four objectives.
        const val UNMEASURED_OBJECTIVES = 4
    }
}
