package org.parsleymoor.coordination

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.ConfigurationSection

/** Section texts by content hash, for the configuration in effect and the one that is being fetched. */
internal class SectionCache {
    private val texts = HashMap<String, String>()

    /** Stores [text] if its hash is [hash]; a text that was altered in transit is dropped. */
    fun accept(hash: String, text: String) {
        if (ConfigurationSection("", text).reference.hash == hash) texts[hash] = text
    }

    fun missing(root: ConfigurationRoot): List<String> = root.sections.map { it.hash }.filter { it !in texts }

    fun textsOf(root: ConfigurationRoot): Map<String, String> = select(root.sections.map { it.hash })

    fun select(hashes: List<String>): Map<String, String> =
        hashes.mapNotNull { hash -> texts[hash]?.let { hash to it } }.toMap()

    /** Removes the texts that none of [roots] refers to. */
    fun retain(roots: List<ConfigurationRoot>) {
        texts.keys.retainAll(roots.flatMapTo(HashSet()) { root -> root.sections.map { it.hash } })
    }
}
