package org.parsleymoor.trials

import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.standins.EngineRun
import org.parsleymoor.standins.RunOutcome
import org.parsleymoor.standins.ServiceEffect
import org.parsleymoor.standins.readJournal

/** Compares what callers were told with what the stand-ins' journals say. */
internal class JournalCheck(private val fleet: Fleet, private val outcomes: List<Outcome>) {
    private val runsByEngine: Map<String, Collection<EngineRun>> = sites(EndpointKind.ENGINE).associate { site ->
        site.name to readJournal(EngineRun.serializer(), fleet.journal(site.name)).associateBy { it.number }.values
    }
    private val runs: List<EngineRun> = runsByEngine.values.flatten()
    private val effects: List<ServiceEffect> = sites(EndpointKind.SERVICE).flatMap { site ->
        readJournal(ServiceEffect.serializer(), fleet.journal(site.name))
    }

    /** Service calls that took effect more than once (I8); a GET is repeatable and may. */
    fun doubled(): List<String> = effects.filter { it.method != "GET" }.groupingBy { it.path }.eachCount()
        .filter { it.value > 1 }.keys.toList()

    /** Calls that were refused as not run and that a journal has all the same (I7). */
    fun falseNotRun(): List<String> {
        val effectPaths = effects.map { it.path }.toSet()
        val prompts = runs.filter { it.outcome != RunOutcome.REFUSED }.map { it.promptDigest }.toSet()
        return outcomes.filter { it.result == CallResult.NOT_RUN }
            .filter { it.effect in effectPaths || it.promptDigest in prompts }
            .map { "${it.effect}${it.promptDigest}: ${it.detail}" }
    }

    /** What the journals show against I2, I3 and I4, one line each. */
    fun violations(): List<String> = foreignBlocks() + wrongOrganisations() + overColdLimit()

    /** Everything that was found, one line each with the number of the invariant. */
    fun faults(): List<String> = violations() + doubled().map { "I8 $it" } + falseNotRun().map { "I7 $it" }

    /** The share of the pieces of accepted prompts that was computed, those of their first use included. */
    fun recomputedShare(): Double {
        val done = runs.filter { it.startedAtMillis > 0 }.sortedBy { it.startedAtMillis }
        val pieces = done.sumOf { it.pieces }
        return if (pieces == 0) 0.0 else 1.0 - done.sumOf { it.cachedPieces }.toDouble() / pieces
    }

    /** Milliseconds from the time that the zone was out until the last new work arrived there while it was. */
    fun newWorkAfterMillis(leave: ZoneLeave): Long {
        val inside = Deployment.sites.filter { it.zone == leave.zone }.map { it.name }.toSet()
        val arrivals = effects.filter { it.endpoint.value in inside }.map { it.arrivedAtMillis } +
            inside.flatMap { runsByEngine[it].orEmpty() }.map { it.arrivedAtMillis }
        return arrivals.filter { it in leave.leftMillis..leave.backMillis }.maxOfOrNull { it - leave.leftMillis } ?: 0
    }

    private fun foreignBlocks() = runs.filter { it.foreignPieces > 0 }
        .map { "I2/I3 ${it.attempt} of ${it.organisation} used ${it.foreignPieces} blocks of another owner" }

    private fun wrongOrganisations(): List<String> {
        val senders = outcomes.filter { it.promptDigest.isNotEmpty() }.associate { it.promptDigest to it.organisation }
        return runs.filter { run -> senders[run.promptDigest]?.let { it != run.organisation.value } == true }
            .map { "I2 ${it.attempt} ran as ${it.organisation}, sent by ${senders[it.promptDigest]}" }
    }

    private fun overColdLimit() = runs
        .filter { it.coldSinceMillis > 0 && it.othersAtArrival >= Deployment.COLD_LIMIT }
        .map { "I4 ${it.attempt} arrived at a cold engine that had ${it.othersAtArrival} requests" }

    private fun sites(kind: EndpointKind) = Deployment.sites.filter { it.kind == kind }
}
