package org.parsleymoor.gateway.operations

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.parsleymoor.clients.EndpointFailure

/** Why blocks were not copied between an engine and a store; [tag] is the value of the metrics' label. */
internal enum class TransferFailureReason(val tag: String) {
    /** The engine could not take or write the block: it is absent, torn, not committed or of another generation. */
    BLOCK("block"),
    DEADLINE("deadline"),
    BUSY("busy"),
    NOT_CONNECTED("not_connected"),
    REFUSED("refused"),
    BROKEN("broken"),
    SILENT("silent"),
    MALFORMED("malformed"),
    ;

    companion object {
        fun of(failure: EndpointFailure): TransferFailureReason = when (failure) {
            is EndpointFailure.NotConnected -> NOT_CONNECTED
            is EndpointFailure.Refused -> REFUSED
            is EndpointFailure.Broken -> BROKEN
            is EndpointFailure.Silent -> SILENT
            is EndpointFailure.Malformed -> MALFORMED
        }
    }
}

/** Meters of the copies between engines and stores. */
internal class StoreMetrics(private val registry: MeterRegistry) {
    fun imported(blocks: Int, bytes: Long) {
        Counter.builder("parsleymoor.store.imported.blocks").register(registry).increment(blocks.toDouble())
        Counter.builder("parsleymoor.store.imported.bytes").register(registry).increment(bytes.toDouble())
    }

    fun importFailed(reason: TransferFailureReason, blocks: Int) {
        if (blocks == 0) return
        Counter.builder("parsleymoor.store.import.failed.blocks").tag("reason", reason.tag)
            .register(registry).increment(blocks.toDouble())
    }

    fun exported(blocks: Int, bytes: Long) {
        Counter.builder("parsleymoor.store.exported.blocks").register(registry).increment(blocks.toDouble())
        Counter.builder("parsleymoor.store.exported.bytes").register(registry).increment(bytes.toDouble())
    }

    fun exportFailed(reason: TransferFailureReason, blocks: Int) {
        if (blocks == 0) return
        Counter.builder("parsleymoor.store.export.failed.blocks").tag("reason", reason.tag)
            .register(registry).increment(blocks.toDouble())
    }

    /** Counts a block that a store has dropped or moved between its tiers. */
    fun kept(action: String) {
        Counter.builder("parsleymoor.store.retention.blocks").tag("action", action).register(registry).increment()
    }
}
