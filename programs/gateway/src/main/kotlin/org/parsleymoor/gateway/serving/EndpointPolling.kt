package org.parsleymoor.gateway.serving

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.gateway.ConfigurationHolder

/**
 * Calls [poll] for every declared endpoint of [kind], at most 32 at a time, and repeats this after [intervalMillis]
 * until it is cancelled.
 */
internal suspend fun ConfigurationHolder.pollEndpoints(
    kind: EndpointKind,
    intervalMillis: Long,
    poll: suspend (EndpointDeclaration) -> Unit,
) {
    val calls = Semaphore(CONCURRENT_CALLS)
    while (true) {
        coroutineScope {
            current?.endpoints(kind).orEmpty().forEach { launch { calls.withPermit { poll(it) } } }
        }
        delay(intervalMillis)
    }
}

private const val CONCURRENT_CALLS = 32
