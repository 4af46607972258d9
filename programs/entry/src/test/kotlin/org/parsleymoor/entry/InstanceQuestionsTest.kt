package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.entry.control.InstanceQuestions
import org.parsleymoor.relay.limits.InstanceList
import org.parsleymoor.relay.limits.InstancePart
import org.parsleymoor.relay.limits.KnownInstances
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class InstanceQuestionsTest {
    private var nowMillis = 0L
    private val ids = listOf("started", "listed", "other").map { InstanceId(it) }.toSet()

    private inner class Peer(name: String) {
        val known = KnownInstances(InstanceId(name))
        val questions = InstanceQuestions(known, Clock { nowMillis })
    }

    private val started = Peer("started")
    private val listed = Peer("listed").apply { known.list(InstanceList(ids, listedMillis = -4_000)) }

    // Otherwise an instance that starts while the store rejects it knows nobody as long as that lasts.
    @Test
    fun `an instance that knows no others learns from a peer who they are`() {
        val question = started.questions.question()
        val answer = listed.questions.receive(checkNotNull(question))
        expectThat(answer).isNotNull().get { instancesAgeMillis }.isEqualTo(4_000)
        expectThat(started.questions.receive(checkNotNull(answer))).isNull()
        expectThat(started.known.part(nowMillis)).isEqualTo(InstancePart.OfLimit(ids))
    }

    // Two that the store rejects would go on telling each other that they count.
    @Test
    fun `an old list that a peer passes on does not replace a newer one`() {
        started.known.tell(InstanceList(ids - InstanceId("started"), listedMillis = -1_000), nowMillis)
        started.questions.receive(checkNotNull(listed.questions.receive(checkNotNull(started.questions.question()))))
        expectThat(started.known.part(nowMillis)).isEqualTo(InstancePart.OfReserve(ids))
    }

    @Test
    fun `questions are asked once a second, and answered only if the list is known`() {
        expectThat(Peer("unknowing").questions.receive(checkNotNull(started.questions.question()))).isNull()
        nowMillis += 999
        expectThat(started.questions.question()).isNull()
        nowMillis += 1
        expectThat(started.questions.question()).isNotNull()
    }
}
