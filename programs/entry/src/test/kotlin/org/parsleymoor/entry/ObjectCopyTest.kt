package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.entry.control.ObjectCopy
import org.parsleymoor.entry.control.ObjectList
import org.parsleymoor.entry.control.ObjectListener
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectChanges
import org.parsleymoor.entry.protocol.StoredObject
import strikt.api.expectThat
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
        expectThat(copy.accept(requireNotNull(source.offer(0)))).isTrue()
        expectThat(copyListener.names).containsExactlyInAnyOrder("a", "b")
        source.apply(changes(12, put("c", 12)))
        val offer = source.offer(10)
        expectThat(offer?.objects?.map { it.name }).isEqualTo(listOf("c"))
        copy.accept(requireNotNull(offer))
        expectThat(copyListener.names).containsExactlyInAnyOrder("a", "b", "c")
        expectThat(source.offer(12)).isNull()
    }

    // Otherwise a server that has left stays in use at every instance that gets its objects from peers.
    @Test
    fun `a removal reaches a peer, even if the store reports it with the last revision of the object`() {
        copy.accept(requireNotNull(source.offer(0)))
        source.apply(changes(14, removal("a", 3)))
        copy.accept(requireNotNull(source.offer(10)))
        expectThat(copyListener.names).containsExactlyInAnyOrder("b")
    }

    // Otherwise a revoked API key is accepted again.
    @Test
    fun `an older change does not restore a removed object`() {
        copy.accept(requireNotNull(source.offer(0)))
        source.apply(changes(14, put("k", 12), removal("k", 14)))
        copy.accept(requireNotNull(source.offer(10)))
        copy.apply(changes(13, put("k", 12)))
        expectThat(copyListener.names).containsExactlyInAnyOrder("a", "b")
        expectThat(copy.revision).isEqualTo(14L)
    }

    @Test
    fun `an object that was removed and created again is kept`() {
        copy.accept(requireNotNull(source.offer(0)))
        source.apply(changes(12, removal("a", 11), put("a", 12)))
        copy.accept(requireNotNull(source.offer(10)))
        expectThat(copyListener.names).containsExactlyInAnyOrder("a", "b")
    }

    @Test
    fun `changes after a revision that the copy has not reached are not applied`() {
        copy.replace(list(8, "a" to 3))
        source.apply(changes(12, put("c", 12)))
        val offer = requireNotNull(source.offer(11))
        expectThat(copy.accept(offer)).isFalse()
        expectThat(copyListener.names).containsExactlyInAnyOrder("a")
    }

    @Test
    fun `a peer that lacks more removals than are retained gets the whole list`() {
        repeat(1_200) { number -> source.apply(changes(20L + number, removal("gone$number", 20L + number))) }
        expectThat(source.offer(15)?.since).isNull()
        expectThat(source.offer(1_000)?.since).isNotNull()
    }

    private fun list(revision: Long, vararg objects: Pair<String, Long>) =
        ObjectList(objects.map { (name, at) -> StoredObject(name, at, "{}") }, revision)

    private infix fun String.to(revision: Int): Pair<String, Long> = Pair(this, revision.toLong())

    private fun changes(revision: Long, vararg changes: ObjectChange) = ObjectChanges(changes.toList(), revision)

    private fun put(name: String, revision: Long) = ObjectChange(StoredObject(name, revision, "{}"), removed = false)

    private fun removal(name: String, revision: Long) = ObjectChange(StoredObject(name, revision, "{}"), removed = true)

    private class NameListener : ObjectListener {
        val names = LinkedHashSet<String>()

        override fun onList(objects: List<StoredObject>) {
            names.clear()
            names += objects.map { it.name }
        }

        override fun onChange(change: ObjectChange) {
            if (change.removed) names -= change.value.name else names += change.value.name
        }
    }
}
