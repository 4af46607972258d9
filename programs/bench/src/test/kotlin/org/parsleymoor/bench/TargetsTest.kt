package org.parsleymoor.bench

import org.junit.jupiter.api.Assumptions.assumeTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.nio.file.Path
import java.util.stream.Collectors
import java.util.stream.LongStream
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** The targets of section 1.3 as regression bounds, on the short form of both workloads and a virtual clock. */
class TargetsTest {
    private val root = Path.of("../..")
    private val knownRed = root.resolve("KNOWN-RED.txt").takeIf { it.exists() }?.readLines().orEmpty()
        .filter { it.startsWith("bench ") }.map { it.split(' ')[1] }

    @TestFactory
    fun `tally meets its targets`(): List<DynamicTest> = targetsOf("tally")

    @TestFactory
    fun `proofs meets its targets`(): List<DynamicTest> = targetsOf("proofs")

    @Test
    fun `the same seed gives the same figures`() {
        val workload = workload("tally")
        expectThat(Bench(workload, 3).run("parsleymoor")).isEqualTo(Bench(workload, 3).run("parsleymoor"))
    }

    private fun targetsOf(name: String): List<DynamicTest> {
        val workload = workload(name)
        val runs = runPolicies(workload, SEEDS, zoneOut = false)
        val zoneOut = seeds().map { Bench(workload, it).run("parsleymoor", zoneOut = true) }
            .collect(Collectors.toList())
        val own = runs.filter { it.policy == "parsleymoor" }
        val violations = TargetCheck("$name.violations", 0.0, own.sumOf { it.violations }.toDouble())
        val checks = checkTargets(runs) + checkZoneOut(own, zoneOut) + violations
        return checks.map { check -> dynamicTest(check.name) { verify(check) } }
    }

    /** A check that misses its bound passes only when KNOWN-RED.txt lists it, and is printed. */
    private fun verify(check: TargetCheck) {
        println("short form, seeds 1 to $SEEDS: $check")
        if (check.name in knownRed) {
            println("KNOWN-RED: ${check.name}")
            assumeTrue(check.holds, "listed in KNOWN-RED.txt: $check")
        }
        expectThat(check.holds).describedAs(check.toString()).isTrue()
    }

    private fun workload(name: String): Workload = readWorkload(root.resolve("bench/$name.toml")).shortForm()

    private fun seeds() = LongStream.rangeClosed(1, SEEDS.toLong()).parallel().boxed()

    private companion object {
        const val SEEDS = 3
    }
}
