package org.parsleymoor.placement

import com.github.michaelbull.result.Result
import org.apache.commons.rng.UniformRandomProvider

/** Chooses the engine for a request, and the way in which it obtains the request's prefix, from an immutable view. */
public sealed class PlacementPolicy {
    /** The name of the policy in settings and in results of the benchmark. */
    public abstract val name: String

    /** Returns the choice for [request] in [fleet], or [NoEngineAvailable]; [random] breaks near ties. */
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
