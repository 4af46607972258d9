package org.parsleymoor.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.standins.EngineFaults
import org.parsleymoor.standins.EngineRun
import org.parsleymoor.standins.EngineSettings
import org.parsleymoor.standins.EngineStandIn
import org.parsleymoor.standins.ModelText
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Completions while the weight version of their model changes (I3). */
@Timeout(30)
class VersionChangeTest {
    private val harness = GatewayHarness()
    private lateinit var engines: List<Int>

    @AfterEach
    fun close() = harness.close()

    /** Guards against an answer that is put together from two weight versions. */
    @Test
    fun `a run whose engine dies after a version change goes on with its own version`(): Unit = runBlocking {
        start("1", "1", "2")
        val old = async { complete() }
        var busy = -1
        harness.eventually {
            busy = (0..1).firstOrNull { runs(it).isNotEmpty() } ?: -1
            busy >= 0
        }
        delay(TOKEN_MILLIS * SEEN_TOKENS)
        changeVersion()
        val new = async { complete() }
        harness.eventually { runs(2).isNotEmpty() }
        fail(busy, EngineFaults(fallOver = true))
        expectThat(old.await()).contains(ModelText.answer("leaf", PROMPT, TOKENS))
        expectThat(new.await()).contains(ModelText.answer("leaf", PROMPT, TOKENS))
        expectThat(runs(1 - busy).single()) {
            get { version.value }.isEqualTo("1")
            get { resumedAfterTokens }.isGreaterThan(0)
        }
        expectThat(runs(2)).all { get { version.value }.isEqualTo("2") }
    }

    /** Guards against a request that waits and is run with a version that was not current when it was received. */
    @Test
    fun `a request that waits keeps the version of its receipt and a later one gets the new version`(): Unit =
        runBlocking {
            start("1", "2", limits = LimitsDeclaration(concurrentPerEngine = 1))
            val first = async { complete() }
            harness.eventually { runs(0).isNotEmpty() }
            val waiting = async { complete() }
            harness.eventually { harness.running() == 2 }
            changeVersion(LimitsDeclaration(concurrentPerEngine = 1))
            val later = async { complete() }
            val answers = listOf(first, waiting, later).map { it.await() }
            expectThat(answers.filterNot { ModelText.answer("leaf", PROMPT, TOKENS) in it }).isEmpty()
            expectThat(runs(0).map { it.version.value }).isEqualTo(listOf("1", "1"))
            expectThat(runs(1).map { it.version.value }).isEqualTo(listOf("2"))
        }

    private suspend fun start(vararg versions: String, limits: LimitsDeclaration = LimitsDeclaration()) {
        engines = versions.mapIndexed { index, version ->
            val loaded = listOf(LoadedVersion(ModelId("leaf"), WeightVersion(version)))
            val settings = EngineSettings(EndpointId("engine-$index"), models = loaded, millisPerToken = TOKEN_MILLIS)
            EngineStandIn(harness.vertx, settings).start()
        }
        harness.start(GatewayHarness.configuration(engines, limits = limits))
        harness.eventually { versions.all { "\"version\":\"$it\"" in harness.operations("/status").bodyAsString() } }
    }

    private fun changeVersion(limits: LimitsDeclaration = LimitsDeclaration()) {
        val changed = GatewayHarness.configuration(engines, limits = limits)
        val model = ModelDeclaration(ModelId("leaf"), WeightVersion("2"))
        harness.gateway.accept(changed.copy(revision = changed.revision + 1, models = listOf(model)))
    }

    private suspend fun complete(): String =
        harness.post("/v1/chat/completions", GatewayHarness.chat(tokens = TOKENS)).bodyAsString()

    private suspend fun runs(engine: Int): List<EngineRun> =
        WireJson.decodeFromString(ListSerializer(EngineRun.serializer()), harness.at(engines[engine], "/journal"))

    private suspend fun fail(engine: Int, faults: EngineFaults) {
        harness.at(engines[engine], "/faults", WireJson.encodeToString(EngineFaults.serializer(), faults))
    }

    private companion object {
        const val PROMPT = "user: weigh this"
        const val TOKENS = 40
        const val TOKEN_MILLIS = 30L
        const val SEEN_TOKENS = 5
    }
}
