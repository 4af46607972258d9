package org.parsleymoor.peering

import com.github.michaelbull.result.get
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.ByteBuffer

/** Messages between instances of this build and the one before, which run side by side during an update. */
@OptIn(ExperimentalSerializationApi::class)
class FormerBuildTest {
    private val codec = FrameCodec(limitBytes = 100_000)
    private val formerCbor = Cbor { ignoreUnknownKeys = true }
    private val crash = QuarantinedPartDigest(part = 7, companions = setOf(8), lastCrashAgeMillis = 9, failedProbes = 1)

    // Otherwise an instance that is not updated yet drops its connections to those that are.
    @Test
    fun `the build before decodes the rest of a message that has leaving endpoints`() {
        val news = PeerMessage.InstanceNews(
            passOn = "NOBODY",
            quarantined = listOf(crash),
            leaving = listOf(LeavingEndpointDigest(EndpointId("e"), startMillis = 1)),
        )
        val frame = checkNotNull(codec.encode(news).get())
        val former = formerCbor.decodeFromByteArray(FormerMessage.serializer(), frame)
        expectThat(former).isEqualTo(FormerMessage.InstanceNews(passOn = "NOBODY", quarantined = listOf(crash)))
    }

    @Test
    fun `a message of the build before is decoded without leaving endpoints`() {
        val former = FormerMessage.InstanceNews(passOn = "ZONE", quarantined = listOf(crash))
        val frame = formerCbor.encodeToByteArray(FormerMessage.serializer(), former)
        val bytes = ByteBuffer.allocate(Int.SIZE_BYTES + frame.size).putInt(frame.size).put(frame).array()
        val news = runBlocking { codec.read(ByteReadChannel(bytes)) }.get() as? PeerMessage.InstanceNews
        expectThat(news).isNotNull().get { quarantined }.isEqualTo(listOf(crash))
        expectThat(news?.leaving.orEmpty()).isEmpty()
    }

    // Crashes are told field by field; a new field there would end the connection to an instance not updated yet.
    @Test
    fun `the build before decodes crashes of which this one tells the whole request`() {
        val crashed = EndpointCrashDigest(InstanceId("i"), EndpointId("e"), 1, 2, setOf(3), 4, responding = true)
        val news = PeerMessage.InstanceNews(
            passOn = "NOBODY",
            crashed = listOf(crashed),
            crashedRequests = listOf(5, null),
            ambiguous = setOf(6),
        )
        val frame = checkNotNull(codec.encode(news).get())
        val former = formerCbor.decodeFromByteArray(FormerMessage.serializer(), frame)
        expectThat(former).isEqualTo(FormerMessage.InstanceNews(passOn = "NOBODY", crashed = listOf(crashed)))
    }

    // An instance that asks for the others would lose its connections to those that are not updated yet.
    @Test
    fun `the build before decodes a message with instances or a question for them`() {
        val news = PeerMessage.InstanceNews(
            passOn = "NOBODY",
            quarantined = listOf(crash),
            wantsInstances = true,
            instances = setOf(InstanceId("i")),
            instancesAgeMillis = 1,
        )
        val frame = checkNotNull(codec.encode(news).get())
        val former = formerCbor.decodeFromByteArray(FormerMessage.serializer(), frame)
        expectThat(former).isEqualTo(FormerMessage.InstanceNews(passOn = "NOBODY", quarantined = listOf(crash)))
    }

    /** The messages of the build before, without those that have not changed. */
    @Serializable
    private sealed interface FormerMessage {
        @Serializable
        @SerialName("news")
        data class InstanceNews(
            val passOn: String,
            val loads: List<EngineLoadDigest> = emptyList(),
            val silent: List<UnresponsiveEngineDigest> = emptyList(),
            val sent: List<SentPromptDigest> = emptyList(),
            val ordered: List<EngineOrderDigest> = emptyList(),
            val stores: List<CacheStoreDigest> = emptyList(),
            val known: List<ObjectFreshnessDigest> = emptyList(),
            val crashed: List<EndpointCrashDigest> = emptyList(),
            val answered: List<AnsweredPartsDigest> = emptyList(),
            val quarantined: List<QuarantinedPartDigest> = emptyList(),
        ) : FormerMessage
    }
}
