package org.parsleymoor.clients

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/**
 * A connection pool that can be replaced when its open connections have gone silent. A replaced pool finishes the
 * exchanges in flight and then closes.
 */
internal class ReplaceablePool(private val vertx: Vertx, private val size: Int) : AutoCloseable {
    private val pool = AtomicReference(create())

    /** The pool for the next exchange. */
    val current: HttpClient get() = pool.get()

    /** Replaces [silent] unless another caller has done so. */
    fun renew(silent: HttpClient) {
        val fresh = create()
        val replaced = if (pool.compareAndSet(silent, fresh)) silent else fresh
        replaced.shutdown(DRAIN_MINUTES, TimeUnit.MINUTES)
    }

    override fun close() {
        // An endpoint that is no longer declared finishes the exchanges that run there.
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
