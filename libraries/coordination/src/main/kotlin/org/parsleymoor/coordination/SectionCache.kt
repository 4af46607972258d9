package org.parsleymoor.coordination

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.ConfigurationSection

/** Texts of sections by content hash, as far as the configuration in effect and the one being fetched need them. */
internal class SectionCache {
    private val texts = HashMap<String, String>()

    /** Keeps [text] when its hash is [hash]; a text that was altered on the way is dropped. */
    fun accept(hash: String, text: String) {
        if (ConfigurationSection("", text).reference.hash == hash) texts[hash] = text
    }

    fun missing(root: ConfigurationRoot): List<String> = root.sections.map { it.hash }.filter { it !in texts }

    fun of(root: ConfigurationRoot): Map<String, String> = select(root.sections.map { it.hash })

    fun select(hashes: List<String>): Map<String, String> =
        hashes.mapNotNull { hash -> texts[hash]?.let { hash to it } }.toMap()

    /** Drops what neither of [roots] refers to. */
    fun retain(roots: List<ConfigurationRoot>) {
        texts.keys.retainAll(roots.flatMapTo(HashSet()) { root -> root.sections.map { it.hash } })
    }
}
