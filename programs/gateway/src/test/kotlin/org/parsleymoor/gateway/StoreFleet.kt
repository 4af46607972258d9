package org.parsleymoor.gateway

import com.github.michaelbull.result.getOrThrow
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.parsleymoor.clients.BlockTier
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.clients.VertxOperationsClient
import org.parsleymoor.clients.VertxStoreClient
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.context.ContextScope
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.FailureException
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.sha256Hex
import org.parsleymoor.standins.BlockCall
import org.parsleymoor.standins.BlockOutcome
import org.parsleymoor.standins.EngineRun
import org.parsleymoor.standins.EngineSettings
import org.parsleymoor.standins.EngineStandIn
import org.parsleymoor.standins.ModelText
import org.parsleymoor.standins.StoreFaults
import org.parsleymoor.standins.StoreSettings
import org.parsleymoor.standins.StoreStandIn

/** One gateway, one engine that holds the blocks of one prompt, and one store, over real connections. */
internal class StoreFleet(private val harness: GatewayHarness) {
    private val web = WebClient.create(harness.vertx)
    private var enginePort = 0
    private var storePort = 0

    /** What the gateway serves, once [start] has begun. */
    lateinit var configuration: Configuration
        private set

    suspend fun start(
        gateway: (GatewaySettings) -> GatewaySettings = { it },
        prefillMillisPerPiece: Long = 20,
        store: (StoreSettings) -> StoreSettings = { it },
    ) {
        val loaded = listOf(LoadedVersion(ModelId("leaf"), WeightVersion("1")))
        val engine = EngineSettings(
            EndpointId("engine-0"),
            models = loaded,
            cacheBytes = PIECES * BLOCK_BYTES,
            prefillMillisPerPiece = prefillMillisPerPiece,
        )
        enginePort = EngineStandIn(harness.vertx, engine).start()
        storePort = StoreStandIn(harness.vertx, store(StoreSettings(EndpointId("store-0")))).start()
        configuration = GatewayHarness.configuration(engines = listOf(enginePort), stores = listOf(storePort))
        harness.start(configuration, gateway)
    }

    /** Writes the blocks of [prompt] as an engine does, and waits until the gateway knows of them. */
    suspend fun fill(prompt: String) {
        val known = knownBlocks()
        pieces(prompt).forEach { write(it) }
        harness.eventually { knownBlocks() == known + PIECES }
    }

    /** The number of blocks that the gateway believes the engine and the store to hold. */
    suspend fun knownBlocks(): Int = metric("parsleymoor_cache_directory_blocks")

    /** Writes [piece]; the store drops the connection when a fault asks for a partial write. */
    suspend fun write(piece: String, generation: Long = 1) {
        val content = "block $piece".toByteArray()
        val checksum = content.sha256Hex()
        val request = web.put(storePort, HOST, "/v1/blocks/$piece?generation=$generation")
            .putHeader("Content-Digest", checksum).putHeader("Block-Bytes", BLOCK_BYTES.toString())
        runCatching { request.sendBuffer(Buffer.buffer(content)).coAwait() }
    }

    suspend fun free(piece: String) {
        web.delete(storePort, HOST, "/v1/blocks/$piece").send().coAwait()
    }

    suspend fun moveToDisk(piece: String) {
        storeClient().move(piece, 1, BlockTier.DISK).getOrThrow { FailureException(it) }
    }

    /** The bytes in the store's memory tier. */
    suspend fun storeMemoryBytes(): Long = storeClient().load().getOrThrow { FailureException(it) }.memoryBytes

    private fun storeClient() = VertxStoreClient(harness.vertx, HttpAddress(HOST, storePort))

    suspend fun fault(faults: StoreFaults) {
        val body = Buffer.buffer(WireJson.encodeToString(StoreFaults.serializer(), faults))
        web.post(storePort, HOST, "/faults").sendBuffer(body).coAwait()
    }

    /** Sends [prompt]; the result says whether the answer is the model's. */
    suspend fun ask(prompt: String): StoreAnswer {
        val body = """{"model":"leaf","prompt":"$prompt","max_tokens":$TOKENS}"""
        val answer = harness.post("/v1/completions", body)
        val client = VertxOperationsClient(harness.vertx, HttpAddress(HOST, harness.ports.operations))
        val request = RequestId(answer.getHeader("X-Request-Id"))
        return StoreAnswer(
            isCorrect = ModelText.answer("leaf", prompt, TOKENS) in answer.bodyAsString(),
            run = engineRuns().last { it.request == request },
            steps = client.history(request).getOrThrow { FailureException(it) }.steps.map { it.kind },
        )
    }

    /** The value of the first meter whose line begins with [name], 0 when there is none. */
    suspend fun metric(name: String): Int = harness.operations("/metrics").bodyAsString().lines()
        .firstOrNull { it.startsWith(name) }?.substringAfterLast(' ')?.toDouble()?.toInt() ?: 0

    suspend fun engineRuns(): List<EngineRun> = journal(enginePort, EngineRun.serializer())

    suspend fun storeOutcomes(): List<BlockOutcome> = storeCalls().map { it.outcome }

    suspend fun storeCalls(): List<BlockCall> = journal(storePort, BlockCall.serializer())

    private suspend fun <T> journal(port: Int, serializer: KSerializer<T>): List<T> =
        WireJson.decodeFromString(
            ListSerializer(serializer),
            web.get(port, HOST, "/journal").send().coAwait().bodyAsString(),
        )

    companion object {
        /** Number of blocks of a prompt, and of the engine's cache. */
        const val PIECES = 4
        private const val BLOCK_BYTES = 100_000_000L
        private const val TOKENS = 8
        private const val HOST = "127.0.0.1"

        /** A prompt of [PIECES] full pieces that begins with [start]. */
        fun prompt(start: String): String = start.padEnd(PIECES * PromptHashes.PIECE_BYTES, '.')

        fun pieces(prompt: String): List<String> {
            val scope = ContextScope(OrganisationId("tea"), ModelId("leaf"), WeightVersion("1"))
            return PromptHashes.of(scope, prompt).pieces.map { it.toString() }
        }
    }
}

/** What a caller got, how the engine ran it and which [steps] the gateway recorded. */
internal class StoreAnswer(val isCorrect: Boolean, val run: EngineRun, val steps: List<RequestStepKind>)
