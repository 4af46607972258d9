package org.parsleymoor.gateway

import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter
import io.vertx.core.MultiMap
import org.junit.jupiter.api.Test
import org.parsleymoor.core.InstanceId
import org.parsleymoor.gateway.operations.Tracing
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class TracingTest {
    @Test
    fun `each hop is a span of one trace below the span of the request`() {
        val exporter = InMemorySpanExporter.create()
        val tracing = Tracing(InstanceId("gateway-1"), exporter)
        val request = tracing.request("chat", MultiMap.caseInsensitiveMultiMap())
        val hop = tracing.hop("generate", "engine-1", request)
        hop.end()
        request.end()
        tracing.flush()
        val spans = exporter.finishedSpanItems.associateBy { it.name }
        expectThat(spans.getValue("generate").parentSpanId).isEqualTo(spans.getValue("chat").spanId)
        expectThat(spans.getValue("generate").traceId).isEqualTo(spans.getValue("chat").traceId)
    }
}
