package org.parsleymoor.trials

/** Returns when the gateway is ready; throws [IllegalStateException] when it is not within 30 s. */
internal fun GatewayPlace.awaitReady() {
    val web = Web()
    awaitReady(name) { web.get("$operations/ready").status == READY }
}

/** Returns when [ready] holds for [name]; throws [IllegalStateException] when it does not within 30 s. */
internal fun awaitReady(name: String, ready: () -> Boolean) {
    val deadline = System.nanoTime() + START_NANOS
    while (!answers(ready)) {
        check(System.nanoTime() < deadline) { "expected $name to be ready within 30 s, found it is not" }
        Thread.sleep(POLL_MILLIS)
    }
}

private const val READY = 200
private const val START_NANOS = 30_000_000_000L
private const val POLL_MILLIS = 50L
