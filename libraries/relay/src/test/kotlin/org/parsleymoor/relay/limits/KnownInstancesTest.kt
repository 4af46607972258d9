package org.parsleymoor.relay.limits

import org.junit.jupiter.api.Test
import org.parsleymoor.core.InstanceId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class KnownInstancesTest {
    private val self = InstanceId("self")
    private val known = KnownInstances(self, RegistrationTimes(listMillis = 6_000, expiryMillis = 20_000))

    // An instance that knew nobody took the whole limit of a cold endpoint.
    @Test
    fun `an instance that knows no others uses nothing of a shared limit`() {
        expectThat(known.part(0)).isEqualTo(InstancePart.Nothing)
        expectThat(known.isUnsure(0)).isTrue()
    }

    // Otherwise callers are not served while the store rejects an instance that was restarted.
    @Test
    fun `an instance that peers count from before its start uses its part of the limit`() {
        known.tell(list("self", "a", "b", atMillis = -3_000), nowMillis = 0)
        expectThat(known.part(0)).isEqualTo(InstancePart.OfLimit(ids("self", "a", "b")))
    }

    @Test
    fun `an instance that peers do not count shares the reserve`() {
        known.tell(list("a", "b", atMillis = -3_000), nowMillis = 0)
        expectThat(known.part(0)).isEqualTo(InstancePart.OfReserve(ids("self", "a", "b")))
    }

    // A peer that has listed the new registration does not show that the others have.
    @Test
    fun `an instance that registers uses its part once all others have listed it`() {
        known.recordRenewal(0, replaced = false)
        known.list(list("self", "a", atMillis = 100))
        expectThat(known.part(1_000)).isEqualTo(InstancePart.Nothing)
        known.tell(list("self", "a", atMillis = 3_000), nowMillis = 3_000)
        expectThat(known.part(3_000)).isA<InstancePart.OfReserve>()
        expectThat(known.part(7_000)).isA<InstancePart.OfLimit>()
        expectThat(known.isUnsure(7_000)).isFalse()
    }

    // An instance that the store rejected kept a share that the others had divided among themselves.
    @Test
    fun `an instance whose registration expired shares the reserve unless peers still count it`() {
        known.recordRenewal(0, replaced = false)
        known.list(list("self", "a", "b", atMillis = 0))
        expectThat(known.part(19_999)).isA<InstancePart.OfLimit>()
        expectThat(known.isUnsure(15_000)).isTrue()
        expectThat(known.part(20_000)).isA<InstancePart.OfReserve>()
        known.tell(list("self", "a", "b", atMillis = 14_000), nowMillis = 20_000)
        expectThat(known.part(20_000)).isA<InstancePart.OfLimit>()
        known.tell(list("a", "b", atMillis = 21_000), nowMillis = 21_000)
        expectThat(known.part(21_000)).isA<InstancePart.OfReserve>()
    }

    // After a loss of power nobody has a list from before, and callers are not to wait until all have a new one.
    @Test
    fun `an instance that replaces its former registration uses its part unless peers no longer count it`() {
        known.recordRenewal(0, replaced = true)
        known.list(list("self", "a", atMillis = 100))
        expectThat(known.part(100)).isEqualTo(InstancePart.OfLimit(ids("self", "a")))
        known.tell(list("a", atMillis = -3_000), nowMillis = 200)
        expectThat(known.part(2_000)).isEqualTo(InstancePart.OfReserve(ids("self", "a")))
    }

    // Those that are gone may go on for a moment, as they do not know that they are no longer counted.
    @Test
    fun `a part grows some time after others have gone and shrinks at once when others come`() {
        (0L..18_000L step 6_000).forEach { known.recordRenewal(it, replaced = false) }
        known.list(list("self", "a", "b", atMillis = 10_000))
        known.list(list("self", "a", atMillis = 16_000))
        known.list(list("self", "a", "c", atMillis = 17_000))
        expectThat(known.part(17_000)).isEqualTo(InstancePart.OfLimit(ids("self", "a", "b", "c")))
        expectThat(known.part(18_499)).isEqualTo(InstancePart.OfLimit(ids("self", "a", "b", "c")))
        expectThat(known.part(18_500)).isEqualTo(InstancePart.OfLimit(ids("self", "a", "c")))
        known.list(list("self", "a", "c", "d", atMillis = 19_000))
        expectThat(known.part(19_000)).isEqualTo(InstancePart.OfLimit(ids("self", "a", "c", "d")))
    }

    @Test
    fun `an instance that is stopping shares the reserve`() {
        (0L..6_000L step 6_000).forEach { known.recordRenewal(it, replaced = false) }
        known.list(list("self", "a", atMillis = 6_000))
        known.recordRemoval()
        expectThat(known.part(8_000)).isA<InstancePart.OfReserve>()
    }

    private fun ids(vararg names: String) = names.map { InstanceId(it) }.toSet()

    private fun list(vararg names: String, atMillis: Long) = InstanceList(ids(*names), atMillis)
}
