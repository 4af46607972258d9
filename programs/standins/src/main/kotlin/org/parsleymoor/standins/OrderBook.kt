package org.parsleymoor.standins

import org.parsleymoor.clients.DesiredState
import org.parsleymoor.clients.EngineOrder
import org.parsleymoor.clients.LoadedVersion

/** The orders that an engine accepted and the versions, adapters and role that follow from them. */
internal class OrderBook(first: List<LoadedVersion>, private val fencing: Fencing) {
    private val accepted = LinkedHashMap<String, EngineOrder>()
    private var highestFencing = 0L

    var versions: List<LoadedVersion> = first
        private set

    var role: String = "serve"
        private set

    val orders: List<EngineOrder> get() = accepted.values.toList()

    val highest: Long get() = highestFencing

    /** Returns whether the order's fencing token is too old for this engine. */
    fun isStale(order: EngineOrder): Boolean = fencing == Fencing.CHECKED && order.fencing < highestFencing

    /** Takes an order; returns the version to load when it asks for one that the engine does not hold. */
    fun accept(order: EngineOrder): LoadedVersion? {
        highestFencing = maxOf(highestFencing, order.fencing)
        accepted[order.order] = order
        return when (val wanted = order.wanted) {
            is DesiredState.Loaded -> startLoading(LoadedVersion(wanted.model, wanted.version, loading = true))
            is DesiredState.Unloaded -> null.also { unload(wanted) }
            is DesiredState.AdapterLoaded -> null.also { addAdapter(wanted) }
            is DesiredState.Role -> null.also { role = wanted.role }
        }
    }

    /** Marks [version] as complete unless it was unloaded in the meantime. */
    fun loaded(version: LoadedVersion) {
        versions = versions.map { if (it.isSameAs(version)) it.copy(loading = false) else it }
    }

    private fun startLoading(version: LoadedVersion): LoadedVersion? {
        if (versions.any { it.isSameAs(version) }) return null
        versions = versions + version
        return version
    }

    private fun unload(wanted: DesiredState.Unloaded) {
        versions = versions.filterNot { it.model == wanted.model && it.version == wanted.version }
    }

    private fun addAdapter(wanted: DesiredState.AdapterLoaded) {
        versions = versions.map {
            if (it.model == wanted.model) it.copy(adapters = (it.adapters + wanted.adapter).distinct()) else it
        }
    }

    private fun LoadedVersion.isSameAs(other: LoadedVersion) = model == other.model && version == other.version
}
