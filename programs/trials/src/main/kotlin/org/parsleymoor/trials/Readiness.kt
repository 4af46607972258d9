package org.parsleymoor.trials

/** Returns when the gateway is ready; throws [IllegalStateException] when it is not within [limitMillis]. */
internal fun GatewayPlace.awaitReady(limitMillis: Long = 30_000) {
    val web = Web()
    val deadline = System.currentTimeMillis() + limitMillis
    while (!answers { web.get("$operations/ready").status == READY }) {
        check(System.currentTimeMillis() < deadline) { "expected $name to be ready within $limitMillis ms" }
        Thread.sleep(POLL_MILLIS)
    }
}

private const val READY = 200
private const val POLL_MILLIS = 50L
