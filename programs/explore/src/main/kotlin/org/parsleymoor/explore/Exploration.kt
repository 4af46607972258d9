package org.parsleymoor.explore

/** What an exploration found: the steps taken and the first counterexample, if any. */
internal data class Exploration(
    val steps: Long,
    val histories: Long,
    val counterexample: Counterexample?,
)

/** Explores histories of one world, seed after seed, until a counterexample is found or [ended] says so. */
internal fun explore(
    kind: WorldKind,
    firstSeed: Long,
    fault: SeededFault? = null,
    ended: (steps: Long) -> Boolean,
): Exploration {
    var steps = 0L
    var seed = firstSeed
    while (!ended(steps)) {
        val history = runHistory(kind, HistorySettings(seed, fault))
        steps += history.steps
        if (history.violation != null) {
            return Exploration(steps, seed - firstSeed + 1, retrace(kind, HistorySettings(seed, fault), history))
        }
        seed++
    }
    return Exploration(steps, seed - firstSeed, null)
}

private data class History(val steps: Long, val violation: Violation?, val events: List<String>)

private fun runHistory(kind: WorldKind, settings: HistorySettings): History {
    val world = createWorld(kind, settings)
    var steps = 0L
    while (steps < HAZARDOUS_STEPS && world.violation == null && world.scheduler.step()) {
        steps++
        world.check()
    }
    world.calm()
    val settledMillis = world.nowMillis + world.settleMillis
    while (world.nowMillis < settledMillis && world.violation == null && world.scheduler.step()) {
        steps++
        world.check()
    }
    world.checkSettled()
    return History(steps, world.violation, world.events.toList())
}

/** Runs the history again with its events kept. */
private fun retrace(kind: WorldKind, settings: HistorySettings, found: History): Counterexample {
    val traced = runHistory(kind, settings.copy(traced = true))
    val violation = checkNotNull(found.violation) { "expected a violation in the history of seed ${settings.seed}" }
    return Counterexample(kind, settings.seed, found.steps, violation, traced.events)
}

private fun createWorld(kind: WorldKind, settings: HistorySettings): World = when (kind) {
    WorldKind.LEASES -> LeaseWorld(settings)
    WorldKind.COLD_START -> ColdWorld(settings)
    WorldKind.EXECUTION -> ExecutionWorld(settings)
    WorldKind.CONFIGURATION -> ConfigurationWorld(settings)
}

private const val HAZARDOUS_STEPS = 6_000L
