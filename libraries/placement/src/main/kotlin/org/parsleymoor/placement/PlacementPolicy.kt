package org.parsleymoor.placement

import com.github.michaelbull.result.Result
import org.apache.commons.rng.UniformRandomProvider

/** Chooses the engine for a request and where it gets the request's prefix from, given an immutable view. */
public sealed class PlacementPolicy {
    /** The name of the policy in settings and benchmark results. */
    public abstract val name: String

    /** Returns the placement of [request] in [fleet], or [NoEngineAvailable]; [random] breaks ties. */
    public abstract fun place(
        request: PlacementRequest,
        fleet: FleetView,
        random: UniformRandomProvider,
    ): Result<Placement, NoEngineAvailable>

    public companion object {
        /** Returns a new policy called [name] with default settings, or null for an unknown name. */
        public fun named(name: String): PlacementPolicy? = all().firstOrNull { it.name == name }

        /** Returns a new instance of each policy, the baselines first. */
        public fun all(): List<PlacementPolicy> =
            listOf(RoundRobinPolicy(), LeastLoadedPolicy(), PrefixAffinityPolicy(), CostBasedPolicy())
    }
}
