package org.parsleymoor.clients

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/**
 * An HTTP connection pool that can be replaced if its connections stop responding. The old pool closes once its
 * exchanges in flight are complete.
 */
internal class ReplaceablePool(private val vertx: Vertx, private val size: Int) : AutoCloseable {
    private val pool = AtomicReference(create())

    /** The pool for the next exchange. */
    val current: HttpClient get() = pool.get()

    /** Replaces [unresponsive] unless another caller has already replaced it. */
    fun replace(unresponsive: HttpClient) {
        val replacement = create()
        val retired = if (pool.compareAndSet(unresponsive, replacement)) unresponsive else replacement
        retired.shutdown(DRAIN_MINUTES, TimeUnit.MINUTES)
    }

    override fun close() {
        // Exchanges with an endpoint that was removed from the configuration may still complete.
        pool.get().shutdown(DRAIN_MINUTES, TimeUnit.MINUTES)
    }

    private fun create(): HttpClient = vertx.createHttpClient(
        HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setKeepAlive(true),
        PoolOptions().setHttp1MaxSize(size),
    )

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000
        const val DRAIN_MINUTES = 5L
    }
}
