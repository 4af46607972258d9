package org.parsleymoor.bench

import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock

/** What a gateway has asked of a store since [sinceMillis], on top of the store's report. */
internal class SentBytes(val sinceMillis: Double) {
    var memory: Long = 0
        private set
    var disk: Long = 0
        private set

    fun add(blocks: List<HeldBlock>, blockBytes: Long) {
        val onDisk = blocks.count { it.tier == CacheTier.STORE_DISK }
        disk += onDisk * blockBytes
        memory += (blocks.size - onDisk) * blockBytes
    }
}

/** What a store reported at [takenMillis] about the bytes that wait on its link and its disk. */
internal class StoreReport(val takenMillis: Double, val memoryBytes: Long, val diskBytes: Long)
