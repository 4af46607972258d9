package org.parsleymoor.core

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** The immutable labels of an endpoint, organisation, model version or availability zone, as names with values. */
public class Labels private constructor(private val entries: PersistentMap<String, String>) {
    /** Returns the value of the label [name], or null when it is not set. */
    public operator fun get(name: String): String? = entries[name]

    /** Returns a copy with the label [name] set to [value]. */
    public fun with(name: String, value: String): Labels = Labels(entries.put(name, value))

    /** Returns the labels as a map sorted by name. */
    public fun toMap(): Map<String, String> = entries.toSortedMap()

    override fun equals(other: Any?): Boolean = other is Labels && other.entries == entries

    override fun hashCode(): Int = entries.hashCode()

    override fun toString(): String = toMap().entries.joinToString(",") { "${it.key}=${it.value}" }

    public companion object {
        /** No labels. */
        public val Empty: Labels = Labels(persistentMapOf())

        /** Returns labels with the given [entries]. */
        public fun of(entries: Map<String, String>): Labels = Labels(entries.toPersistentMap())

        /** Returns labels with the given [entries]. */
        public fun of(vararg entries: Pair<String, String>): Labels = of(entries.toMap())
    }
}
