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
 * Calls [observe] for every declared endpoint of [kind] every [intervalMillis], for 32 endpoints at a time, until it is
 * cancelled.
 */
internal suspend fun ConfigurationHolder.pollEndpoints(
    kind: EndpointKind,
    intervalMillis: Long,
    observe: suspend (EndpointDeclaration) -> Unit,
) {
    val calls = Semaphore(CONCURRENT_CALLS)
    while (true) {
        coroutineScope {
            current?.endpoints(kind).orEmpty().forEach { launch { calls.withPermit { observe(it) } } }
        }
        delay(intervalMillis)
    }
}

private const val CONCURRENT_CALLS = 32
