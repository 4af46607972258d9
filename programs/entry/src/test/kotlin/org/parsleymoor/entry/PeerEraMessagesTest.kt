package org.parsleymoor.entry

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.serializer
import org.junit.jupiter.api.Test
import org.parsleymoor.peering.ObjectFreshnessDigest
import org.parsleymoor.peering.OfferedObject
import org.parsleymoor.peering.PeerMessage
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Messages between an instance of this build and one of the former build, whose messages carry no era of the store. */
@OptIn(ExperimentalSerializationApi::class)
class PeerEraMessagesTest {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val known = listOf(ObjectFreshnessDigest("WEIGHTS", changedRevision = 7, ageMillis = 20, lost = false))
    private val objects = listOf(OfferedObject("a", 7, "{}"))

    // Otherwise a deployment that runs both builds loses all news between them while it is updated.
    @Test
    fun `the former build decodes the messages of this build and ignores the era`() {
        expectThat(toFormer(PeerMessage.InstanceNews("NOBODY", known = known, era = 3), FormerNews.serializer()))
            .isEqualTo(FormerNews("NOBODY", known))
        expectThat(toFormer(PeerMessage.ObjectsWanted("WEIGHTS", 7, era = 3), FormerWanted.serializer()))
            .isEqualTo(FormerWanted("WEIGHTS", 7))
        expectThat(toFormer(PeerMessage.ObjectsOffered("WEIGHTS", 7, objects, era = 3), FormerOffered.serializer()))
            .isEqualTo(FormerOffered("WEIGHTS", 7, objects))
    }

    // Such a status then confirms nothing at an instance that knows a later era.
    @Test
    fun `the messages of the former build are of era 0`() {
        expectThat(
            fromFormer(FormerNews("NOBODY", known), FormerNews.serializer(), PeerMessage.InstanceNews.serializer())
        )
            .isEqualTo(PeerMessage.InstanceNews("NOBODY", known = known, era = 0))
        expectThat(
            fromFormer(FormerWanted("WEIGHTS", 7), FormerWanted.serializer(), PeerMessage.ObjectsWanted.serializer())
        )
            .isEqualTo(PeerMessage.ObjectsWanted("WEIGHTS", 7, era = 0))
        expectThat(
            fromFormer(
                FormerOffered("WEIGHTS", 7, objects),
                FormerOffered.serializer(),
                PeerMessage.ObjectsOffered.serializer()
            )
        )
            .isEqualTo(PeerMessage.ObjectsOffered("WEIGHTS", 7, objects, era = 0))
    }

    // A store that was never restored has era 0, so that nothing changes in the bytes that instances exchange.
    @Test
    fun `the era 0 is not sent`() {
        val message = PeerMessage.ObjectsWanted("WEIGHTS", 7)
        expectThat(cbor.encodeToByteArray(PeerMessage.ObjectsWanted.serializer(), message).toList())
            .isEqualTo(cbor.encodeToByteArray(FormerWanted.serializer(), FormerWanted("WEIGHTS", 7)).toList())
    }

    private inline fun <reified M : PeerMessage, F> toFormer(message: M, former: KSerializer<F>): F =
        cbor.decodeFromByteArray(former, cbor.encodeToByteArray(serializer<M>(), message))

    private fun <M : PeerMessage, F> fromFormer(message: F, former: KSerializer<F>, current: KSerializer<M>): M =
        cbor.decodeFromByteArray(current, cbor.encodeToByteArray(former, message))

    @Serializable
    @SerialName("news")
    private data class FormerNews(val passOn: String, val known: List<ObjectFreshnessDigest> = emptyList())

    @Serializable
    @SerialName("owant")
    private data class FormerWanted(val kind: String, val haveRevision: Long)

    @Serializable
    @SerialName("ooffer")
    private data class FormerOffered(
        val kind: String,
        val revision: Long,
        val objects: List<OfferedObject>,
        val since: Long? = null,
        val removed: List<String> = emptyList(),
    )
}
