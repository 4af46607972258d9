package org.parsleymoor.entry.log

import kotlinx.serialization.json.put
import java.util.logging.Handler
import java.util.logging.Level
import java.util.logging.LogManager
import java.util.logging.LogRecord
import java.util.logging.Logger

/** Writes what libraries log through java.util.logging to [log], from [level] on. */
public class LibraryLogHandler(private val log: StructuredLog, private val level: Level = Level.WARNING) : Handler() {
    /** Replaces the handlers of the root logger with this one. */
    public fun install() {
        LogManager.getLogManager().reset()
        val root = Logger.getLogger("")
        root.level = level
        root.addHandler(this)
    }

    override fun publish(record: LogRecord) {
        log.write("library") {
            put("level", record.level.name)
            put("logger", record.loggerName)
            put("message", record.message)
            record.thrown?.let { put("cause", it.toString()) }
        }
    }

    override fun flush(): Unit = Unit

    override fun close(): Unit = Unit
}
