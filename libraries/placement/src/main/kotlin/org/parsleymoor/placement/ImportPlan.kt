package org.parsleymoor.placement

/** Import of [count] blocks of [offer] from position [start] on; the last arrives after [arrivalMillis]. */
internal class ImportPlan(
    val offer: ImportCandidate,
    val start: Int,
    val count: Int,
    val arrivalMillis: Double,
) {
    val linkMillis: Double get() = offer.linkMillis(start, count)

    fun source(): PrefixSource =
        PrefixSource.Import(offer.store.endpoint, offer.blocks.subList(start, start + count).toList())
}
