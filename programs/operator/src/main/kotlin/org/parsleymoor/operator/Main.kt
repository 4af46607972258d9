package org.parsleymoor.operator

import com.github.ajalt.clikt.command.main
import io.vertx.core.Vertx
import org.parsleymoor.clients.VertxOperationsClient
import org.parsleymoor.clients.VertxPlatformClient

/** The operators' program; exits with a status of [ExitStatus]. */
public suspend fun main(arguments: Array<String>): Unit = parsleymoorCommand(::connect).main(arguments)

private fun connect(settings: OperatorSettings): Deployment {
    val vertx = Vertx.vertx()
    return Deployment(
        settings = settings,
        platform = VertxPlatformClient(vertx, settings.platform),
        connect = { VertxOperationsClient(vertx, it) },
        release = { vertx.close() },
    )
}
