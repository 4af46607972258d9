package org.parsleymoor.coordination

/**
 * Decides when a new instance has heard enough to apply its first configuration: when the platform answered, or when
 * the time in which peers may offer theirs is over.
 */
internal class StartupWait(private val settings: SyncSettings) {
    private var startedMillis: Long? = null
    private var platformAnswered = false

    fun observe(nowMillis: Long, event: SyncEvent) {
        if (startedMillis == null) startedMillis = nowMillis
        if (event is SyncEvent.PlatformRoot) platformAnswered = true
    }

    fun complete(nowMillis: Long): Boolean {
        val waitedMillis = nowMillis - (startedMillis ?: nowMillis)
        return platformAnswered || waitedMillis >= settings.startMillis
    }
}
