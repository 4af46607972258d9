package org.parsleymoor.trials

import org.parsleymoor.configuration.EndpointKind
import java.io.IOException

/** The settings of the object service, which lists the gateways. */
internal fun Fleet.platformSettings(port: Int) = buildString {
    appendLine("port = $port")
    gateways.forEach {
        appendLine("[[instances]]")
        appendLine("instance = \"${it.name}\"")
        appendLine("zone = \"${it.zone}\"")
        appendLine("peerAddress = \"127.0.0.1:${it.peerPort}\"")
    }
}

/** The settings of the stand-in of an endpoint. */
internal fun Fleet.siteSettings(site: Site) = buildString {
    appendLine("endpoint = \"${site.name}\"")
    appendLine("port = ${ports.getValue(site.name)}")
    appendLine("journalFile = \"${journal(site.name)}\"")
    if (site.kind == EndpointKind.ENGINE) append(ENGINE_SETTINGS)
}

/** Whether [ready] holds; a broken connection means no. */
internal fun answers(ready: () -> Boolean): Boolean = try {
    ready()
} catch (_: IOException) {
    false
}

// Twenty pieces fit in an engine's cache, so contexts are evicted and come back.
private val ENGINE_SETTINGS = """
    cacheBytes = 2000000000
    startsCold = true
    coldLimit = ${Deployment.COLD_LIMIT}
    coldAnswers = ${Deployment.COLD_ANSWERS}
    coldMillis = ${Deployment.COLD_MILLIS}
    [[models]]
    model = "leaf"
    version = "1"
    [[models]]
    model = "caption"
    version = "1"

""".trimIndent()
