package org.parsleymoor.gateway

import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import org.parsleymoor.clients.EngineClient

/** The callers' HTTP server of a gateway. */
public class GatewayServer(private val vertx: Vertx, engine: EngineClient) {
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
    private val chat = ChatCompletionHandler(engine)

    /** Binds [host] and [port] and suspends until connections are accepted; returns the bound port. */
    public suspend fun start(host: String = "127.0.0.1", port: Int = 0): Int {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.post("/v1/chat/completions").handler { scope.launch { chat.handle(it) } }
        return vertx.createHttpServer().requestHandler(router).listen(port, host).coAwait().actualPort()
    }
}
