package org.parsleymoor.bench.slopes

/** The sizes and repetitions of a run of all slopes. */
public data class SlopeForm(
    internal val daemons: List<Int>,
    internal val listedDaemons: List<Int>,
    internal val replicas: List<Int>,
    internal val organisations: List<Int>,
    internal val contexts: List<Int>,
    internal val seconds: Int,
    internal val repetitions: Int,
) {
    public companion object {
        /** Sizes up to those that one machine carries; takes about two minutes. */
        public val Full: SlopeForm = SlopeForm(
            daemons = listOf(2, 4, 8, 16, 32),
            listedDaemons = listOf(10, 50, 150, 400, 750),
            replicas = listOf(10, 100, 500, 1_300, 2_600),
            organisations = listOf(10, 100, 600, 2_400),
            contexts = listOf(1_000, 10_000, 100_000, 500_000, 1_500_000),
            seconds = 10,
            repetitions = 200,
        )

        /** A few seconds, for the build. */
        public val Short: SlopeForm = SlopeForm(
            daemons = listOf(2, 4, 8),
            listedDaemons = listOf(10, 150, 750),
            replicas = listOf(10, 500, 2_600),
            organisations = listOf(10, 600, 2_400),
            contexts = listOf(1_000, 20_000, 60_000),
            seconds = 3,
            repetitions = 20,
        )
    }
}
