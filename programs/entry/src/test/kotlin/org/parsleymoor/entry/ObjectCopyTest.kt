package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.entry.control.ChangeList
import org.parsleymoor.entry.control.ObjectCopy
import org.parsleymoor.entry.control.ObjectList
import org.parsleymoor.entry.control.ObjectListener
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Copies of stored objects that instances send each other, so that not all of them read the store. */
class ObjectCopyTest {
    private val sourceListener = NameListener()
    private val copyListener = NameListener()
    private val source = ObjectCopy(sourceListener).also { it.replace(list(10, "a" to 3, "b" to 5)) }
    private val copy = ObjectCopy(copyListener)

    @Test
    fun `a peer without objects gets the whole list and a peer with older objects gets the changes`() {
        expectThat(copy.accept(requireNotNull(source.offer(at(0))))).isTrue()
        expectThat(copyListener.names).containsExactlyInAnyOrder("a", "b")
        source.apply(changes(12, put("c", 12)))
        val offer = source.offer(at(10))
        expectThat(offer?.objects?.map { it.name }).isEqualTo(listOf("c"))
        copy.accept(requireNotNull(offer))
        expectThat(copyListener.names).containsExactlyInAnyOrder("a", "b", "c")
        expectThat(source.offer(at(12))).isNull()
    }

    // Otherwise a server that has left stays in use at every instance that gets its objects from peers.
    @Test
    fun `a removal reaches a peer, even if the store reports it with the last revision of the object`() {
        copy.accept(requireNotNull(source.offer(at(0))))
        source.apply(changes(14, removal("a", 3)))
        copy.accept(requireNotNull(source.offer(at(10))))
        expectThat(copyListener.names).containsExactlyInAnyOrder("b")
    }

    // Otherwise a revoked API key is accepted again.
    @Test
    fun `an older change does not restore a removed object`() {
        copy.accept(requireNotNull(source.offer(at(0))))
        source.apply(changes(14, put("k", 12), removal("k", 14)))
        copy.accept(requireNotNull(source.offer(at(10))))
        copy.apply(changes(13, put("k", 12)))
        expectThat(copyListener.names).containsExactlyInAnyOrder("a", "b")
        expectThat(copy.position).isEqualTo(at(14))
    }

    @Test
    fun `an object that was removed and created again is kept`() {
        copy.accept(requireNotNull(source.offer(at(0))))
        source.apply(changes(12, removal("a", 11), put("a", 12)))
        copy.accept(requireNotNull(source.offer(at(10))))
        expectThat(copyListener.names).containsExactlyInAnyOrder("a", "b")
    }

    @Test
    fun `changes after a revision that the copy has not reached are not applied`() {
        copy.replace(list(8, "a" to 3))
        source.apply(changes(12, put("c", 12)))
        val offer = requireNotNull(source.offer(at(11)))
        expectThat(copy.accept(offer)).isFalse()
        expectThat(copyListener.names).containsExactlyInAnyOrder("a")
    }

    @Test
    fun `a peer that lacks more removals than are retained gets the whole list`() {
        repeat(1_200) { number -> source.apply(changes(20L + number, removal("gone$number", 20L + number))) }
        expectThat(source.offer(at(15))?.since).isNull()
        expectThat(source.offer(at(1_000))?.since).isNotNull()
    }

    // Revisions are given out again after a restore: the list of the later era is lower, or equal with other content.
    @ParameterizedTest
    @ValueSource(longs = [4, 10, 12])
    fun `a list of a later era replaces the copy, whatever its revision`(revision: Long) {
        expectThat(source.replace(list(revision, "a" to 3, "c" to 4, era = 1))).isTrue()
        expectThat(sourceListener.names).containsExactlyInAnyOrder("a", "c")
        expectThat(sourceListener.eras).containsExactly(0L, 1L)
        expectThat(source.position).isEqualTo(at(revision, era = 1))
    }

    // The changes of the gap between two eras would be missing for good, and a reused revision would go unnoticed.
    @Test
    fun `changes and offers of changes of a later era are not applied, its whole list is`() {
        expectThat(source.apply(changes(14, put("c", 14), era = 1))).isFalse()
        val later = ObjectCopy(copyListener).also { it.replace(list(8, "a" to 3, era = 1)) }
        later.apply(changes(14, put("d", 14), era = 1))
        expectThat(source.accept(requireNotNull(later.offer(at(10, era = 1))))).isFalse()
        expectThat(sourceListener.names).containsExactlyInAnyOrder("a", "b")
        expectThat(source.accept(requireNotNull(later.offer(at(20))))).isTrue()
        expectThat(sourceListener.names).containsExactlyInAnyOrder("a", "d")
    }

    // Such a response was on its way when the store came back; it would bring back what the later era does not have.
    @Test
    fun `lists, changes and offers of a former era are ignored`() {
        val former = requireNotNull(source.offer(at(0)))
        copy.replace(list(4, "a" to 3, era = 1))
        expectThat(copy.replace(list(20, "b" to 20))).isFalse()
        expectThat(copy.apply(changes(20, put("b", 20)))).isFalse()
        expectThat(copy.accept(former)).isFalse()
        expectThat(copyListener.names).containsExactlyInAnyOrder("a")
        expectThat(source.offer(at(4, era = 1))).isNull()
    }

    private fun at(revision: Long, era: Long = 0) = StorePosition(era, revision)

    private fun list(revision: Long, vararg objects: Pair<String, Long>, era: Long = 0) =
        ObjectList(objects.map { (name, at) -> StoredObject(name, at, "{}") }, at(revision, era))

    private infix fun String.to(revision: Int): Pair<String, Long> = Pair(this, revision.toLong())

    private fun changes(revision: Long, vararg changes: ObjectChange, era: Long = 0) =
        ChangeList(changes.toList(), at(revision, era))

    private fun put(name: String, revision: Long) = ObjectChange(StoredObject(name, revision, "{}"), removed = false)

    private fun removal(name: String, revision: Long) = ObjectChange(StoredObject(name, revision, "{}"), removed = true)

    private class NameListener : ObjectListener {
        val names = LinkedHashSet<String>()
        val eras = ArrayList<Long>()

        override fun onEra(era: Long) {
            eras += era
        }

        override fun onList(objects: List<StoredObject>) {
            names.clear()
            names += objects.map { it.name }
        }

        override fun onChange(change: ObjectChange) {
            if (change.removed) names -= change.value.name else names += change.value.name
        }
    }
}
