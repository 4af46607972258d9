package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout

/** Suspends until [condition] holds; fails after five seconds. */
internal suspend fun awaitUntil(condition: suspend () -> Boolean): Unit = withTimeout(5_000) {
    while (!condition()) delay(5)
}

/** Runs [block] on one event loop, because a response that is read from another thread can lose its first bytes. */
internal fun Vertx.onEventLoop(block: suspend CoroutineScope.() -> Unit): Unit = runBlocking(dispatcher(), block)
