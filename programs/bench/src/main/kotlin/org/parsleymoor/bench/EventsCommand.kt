package org.parsleymoor.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import org.parsleymoor.relay.stream.EventSplitter
import java.util.Locale

/** `bench events --read-bytes N`: measures how fast event streams are split, in a plain loop after a warm-up. */
internal class EventsCommand : CliktCommand("events") {
    private val readBytes by option(help = "Bytes that arrive at a time.").int().default(DEFAULT_READ_BYTES)

    override fun help(context: Context): String =
        "Measures how many bytes a second of an event stream are split. Example: bin/bench events --read-bytes 65536"

    override fun run() {
        STREAMS.forEach { (name, block) ->
            val stream = block.repeat(STREAM_BYTES / block.length).toByteArray()
            repeat(WARM_UP) { split(stream) }
            val start = System.nanoTime()
            repeat(MEASURED) { split(stream) }
            val seconds = (System.nanoTime() - start) / NANOS_PER_SECOND
            val megabytes = MEASURED * stream.size / BYTES_PER_MEGABYTE
            echo("%s: %.0f MB/s in reads of %d bytes".format(Locale.ROOT, name, megabytes / seconds, readBytes))
        }
    }

    private fun split(stream: ByteArray): Int {
        val splitter = EventSplitter()
        return (stream.indices step readBytes).sumOf { from ->
            splitter.add(stream.copyOfRange(from, minOf(from + readBytes, stream.size))).bytes.size
        }
    }

    private companion object {
        val STREAMS = mapOf(
            "ordinary events" to "id: 12345\ndata: {\"text\":\" a token or two\"}\n\n",
            "smallest events" to "id:1\n\n",
            "empty lines" to "\n",
            "comments" to ":\n\n",
            "one event" to "data",
        )
        const val DEFAULT_READ_BYTES = 65_536
        const val STREAM_BYTES = 1_048_576
        const val WARM_UP = 50
        const val MEASURED = 100
        const val NANOS_PER_SECOND = 1e9
        const val BYTES_PER_MEGABYTE = 1e6
    }
}
