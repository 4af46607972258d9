package org.parsleymoor.explore

/**
 * How often things go wrong in one history. Probabilities are for each message ([loss], [duplication], [lateness]) or
 * for each second and instance ([pause], [restart]) or platform ([outage]). Clock rates differ by up to [clockSpread].
 */
internal data class Hazards(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val lateness: Double = 0.0,
    val pause: Double = 0.0,
    val restart: Double = 0.0,
    val outage: Double = 0.0,
    val clockSpread: Double = 0.04,
) {
    companion object {
        /** No failures; messages still take time. */
        val None = Hazards()

        /** Draws the hazards of a history; each is absent in some histories, so that it cannot hide the others. */
        fun draw(chance: Chance): Hazards = Hazards(
            loss = chance.level(MOST_LOSS),
            duplication = chance.level(MOST_DUPLICATION),
            lateness = chance.level(MOST_LATENESS),
            pause = chance.level(MOST_PAUSES),
            restart = chance.level(MOST_RESTARTS),
            outage = chance.level(MOST_OUTAGES),
        )

        private fun Chance.level(highest: Double): Double = pick(listOf(0.0, highest * LOW_SHARE, highest))

        private const val LOW_SHARE = 0.1
        private const val MOST_LOSS = 0.2
        private const val MOST_DUPLICATION = 0.1
        private const val MOST_LATENESS = 0.2
        private const val MOST_PAUSES = 0.1
        private const val MOST_RESTARTS = 0.05
        private const val MOST_OUTAGES = 0.1
    }
}
