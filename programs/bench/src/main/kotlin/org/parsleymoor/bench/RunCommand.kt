package org.parsleymoor.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import java.nio.file.Path

/** `bench run WORKLOAD.toml --policy NAME --seed N --json`, or `bench run --all` for every policy and seed. */
internal class RunCommand : CliktCommand("run") {
    private val files by argument("WORKLOAD").path(mustExist = true, canBeDir = false).multiple()
    private val policy by option(help = "Policy to run.").choice(POLICIES.associateWith { it }).default("parsleymoor")
    private val seed by option(help = "Seed of the requests and of all decisions.").long().default(1)
    private val seeds by option(help = "Number of seeds, from 1 on, with --all.").int().default(DEFAULT_SEEDS)
    private val json by option(help = "Print one JSON object per run.").flag()
    private val all by option(help = "Run every policy and seed; print a table and write plots.").flag()
    private val zoneOut by option(help = "Take the workload's availability zone out during the run.").flag()
    private val retention by option(help = "What the stores keep.").choice("return-aware", "lru")
        .default("return-aware")
    private val plots by option(help = "Directory for the plots of --all.").path().default(Path.of("target/plots"))

    override fun help(context: Context): String = "Runs a workload under a virtual clock. " +
        "Example: bin/bench run bench/tally.toml --policy parsleymoor --seed 1 --json"

    override fun run() {
        if (all) runAll() else runOne()
    }

    private fun runOne() {
        val file = files.singleOrNull() ?: throw UsageError("expected one workload file, found ${files.size}")
        val result = Bench(readWorkload(file), seed).run(policy, zoneOut, retention)
        echo(if (json) Json.encodeToString(BenchResult.serializer(), result) else table(listOf(result)))
    }

    private fun runAll() {
        val chosen = files.ifEmpty { listOf(Path.of("bench/tally.toml"), Path.of("bench/proofs.toml")) }
        val results = chosen.map { readWorkload(it) }.flatMap { runPolicies(it, seeds, zoneOut) }
        if (json) results.forEach { echo(Json.encodeToString(BenchResult.serializer(), it)) }
        echo(table(results))
        results.groupBy { it.workload }.values.forEach { runs -> checkTargets(runs).forEach { echo(it) } }
        writePlots(results, plots)
        echo("plots: $plots")
    }

    private companion object {
        val POLICIES = listOf("round-robin", "least-loaded", "prefix-affinity", "parsleymoor")
        const val DEFAULT_SEEDS = 10
    }
}
