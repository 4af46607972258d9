package org.parsleymoor.standins

import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.builtins.ListSerializer
import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId

/** The calls that read and change the list of instances. */
internal class InstanceRoutes(settings: PlatformSettings, private val clock: Clock) {
    private val instances = LaggingInstances(settings.instances, settings.instanceLagMillis)

    fun list(context: RoutingContext) {
        context.answer(ListSerializer(ListedInstance.serializer()), instances.list(clock.nowMillis()))
    }

    fun put(context: RoutingContext) {
        val instance = context.readBody(ListedInstance.serializer()) ?: return
        instances.put(instance, clock.nowMillis())
        context.response().setStatusCode(HttpStatus.NO_CONTENT).end()
    }

    fun remove(context: RoutingContext) {
        instances.remove(InstanceId(context.pathParam("name")), clock.nowMillis())
        context.response().setStatusCode(HttpStatus.NO_CONTENT).end()
    }
}
