package org.parsleymoor.limits

import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class FairQueueTest {
    private val queue = FairQueue(FairQueueLimits(length = 100, lengthPerOrganisation = 60))

    @Test
    fun `an organisation that fills the queue delays another only by its share`() {
        repeat(50) { queue.offer(request("big-$it", "big")) }
        queue.offer(request("small-0", "small"))
        val served = List(2) { queue.poll(0)?.request?.value }
        expectThat(served).contains("small-0")
    }

    @Test
    fun `tokens are shared by weight`() {
        repeat(40) { queue.offer(request("a-$it", "a", weight = 3)) }
        repeat(40) { queue.offer(request("b-$it", "b")) }
        val served = List(20) { queue.poll(0)?.organisation?.value }
        expectThat(served.count { it == "a" }).isEqualTo(15)
    }

    @Test
    fun `requests are weighed by their tokens`() {
        repeat(10) { queue.offer(request("a-$it", "a", tokens = 4_000)) }
        repeat(40) { queue.offer(request("b-$it", "b", tokens = 1_000)) }
        val served = List(20) { queue.poll(0)?.organisation?.value }
        expectThat(served.count { it == "a" }).isEqualTo(4)
    }

    @Test
    fun `a higher priority is served first`() {
        queue.offer(request("low", "a"))
        queue.offer(request("high", "b").copy(priority = 1))
        expectThat(queue.poll(0)?.request?.value).isEqualTo("high")
    }

    @Test
    fun `a request past its deadline is expired and never served`() {
        queue.offer(request("late", "a", deadlineMillis = 10))
        queue.offer(request("good", "a", deadlineMillis = 100))
        expectThat(queue.poll(10)?.request?.value).isEqualTo("good")
        expectThat(queue.expire(10).map { it.request.value }).containsExactly("late")
        expectThat(queue.size).isEqualTo(0)
    }

    @Test
    fun `requests beyond the limit of an organisation or of the queue are refused`() {
        val refusals = (0 until 61).map { queue.offer(request("a-$it", "a")).getError() }
        expectThat(refusals.last()?.organisation?.value).isEqualTo("a")
        (0 until 40).forEach { queue.offer(request("b-$it", "b")) }
        expectThat(queue.offer(request("c", "c")).getError()).isNotNull().get { organisation }.isNull()
    }

    @Test
    fun `a cancelled request is not served`() {
        queue.offer(request("gone", "a"))
        expectThat(queue.cancel(RequestId("gone"))).isTrue()
        expectThat(queue.cancel(RequestId("gone"))).isFalse()
        expectThat(queue.poll(0)).isNull()
    }

    @Test
    fun `a request that would miss its deadline is refused once the drain rate is known`() {
        val admission = AdmissionControl(queue, rateWindowMillis = 1_000)
        repeat(50) { admission.offer(request("a-$it", "a"), 0) }
        (0L..2_000L step 500).forEach { admission.next(it) }
        val refusal = admission.offer(request("late", "b", deadlineMillis = 3_000), 2_000).getError()
        expectThat(refusal).isA<AdmissionRefusal.WouldMissDeadline>()
    }

    @Test
    fun `idle time does not lower the measured drain rate`() {
        val admission = AdmissionControl(queue, rateWindowMillis = 1_000)
        val start = 1_800_000_000_000
        repeat(2) { admission.offer(request("first-$it", "a", deadlineMillis = start + 60_000), start) }
        admission.next(start)
        admission.next(start)
        val later = start + 50_000_000
        val refusals = List(3) {
            admission.offer(request("again-$it", "a", deadlineMillis = later + 60_000), later).getError()
        }
        expectThat(refusals).containsExactly(null, null, null)
    }

    private fun request(
        name: String,
        organisation: String,
        tokens: Long = 1_000,
        deadlineMillis: Long = 1_000_000,
        weight: Int = 1,
    ) = QueuedRequest(RequestId(name), OrganisationId(organisation), tokens, deadlineMillis, weight)
}
