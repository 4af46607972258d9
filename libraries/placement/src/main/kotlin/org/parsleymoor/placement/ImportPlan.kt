package org.parsleymoor.placement

/** Import of [count] blocks of [candidate], beginning at index [start]; the last arrives after [arrivalMillis]. */
internal class ImportPlan(
    val candidate: ImportCandidate,
    val start: Int,
    val count: Int,
    val arrivalMillis: Double,
) {
    val linkMillis: Double get() = candidate.linkMillis(start, count)

    fun source(): PrefixSource =
        PrefixSource.Import(candidate.store.endpoint, candidate.blocks.subList(start, start + count).toList())
}
