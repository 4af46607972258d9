package org.parsleymoor.coordination

/**
 * Decides how long a new instance waits before it applies its first configuration: until the platform has answered, or
 * until the time in which peers may offer theirs is over.
 */
internal class StartupWait(private val settings: SyncSettings) {
    private var startedMillis: Long? = null
    private var platformAnswered = false

    fun observe(nowMillis: Long, event: SyncEvent) {
        if (startedMillis == null) startedMillis = nowMillis
        if (event is SyncEvent.PlatformRoot) platformAnswered = true
    }

    fun isOver(nowMillis: Long): Boolean {
        val waitedMillis = nowMillis - (startedMillis ?: nowMillis)
        return platformAnswered || waitedMillis >= settings.startMillis
    }
}
