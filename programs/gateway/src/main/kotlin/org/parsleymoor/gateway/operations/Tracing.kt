package org.parsleymoor.gateway.operations

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.ReadWriteSpan
import io.opentelemetry.sdk.trace.ReadableSpan
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.SpanProcessor
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import io.vertx.core.MultiMap
import org.parsleymoor.core.Failure
import org.parsleymoor.core.InstanceId
import org.parsleymoor.gateway.TracingSettings
import java.util.concurrent.TimeUnit

/** Spans of the gateway's hops. Trace ids exist also when nothing is exported, because log lines carry them. */
internal class Tracing(instance: InstanceId, exporter: SpanExporter?) : AutoCloseable {
    private val provider: SdkTracerProvider = provider(instance, exporter)
    private val telemetry: OpenTelemetry = OpenTelemetrySdk.builder().setTracerProvider(provider).build()
    private val tracer = telemetry.getTracer("parsleymoor.gateway")
    private val propagator = W3CTraceContextPropagator.getInstance()

    /** Starts the span of a caller's request; it continues the trace of the `traceparent` header, if any. */
    fun request(name: String, headers: MultiMap): Span {
        val parent = propagator.extract(Context.root(), headers, HeaderGetter)
        return tracer.spanBuilder(name).setSpanKind(SpanKind.SERVER).setParent(parent).startSpan()
    }

    /** Starts the span of a call to [target], below [parent]. */
    fun hop(name: String, target: String, parent: Span): Span =
        tracer.spanBuilder(name).setSpanKind(SpanKind.CLIENT).setParent(Context.root().with(parent))
            .setAttribute(TARGET, target).startSpan()

    /** Returns the `traceparent` header of [span]. */
    fun header(span: Span): String {
        var value = ""
        propagator.inject(Context.root().with(span), Unit) { _, name, text -> if (name == "traceparent") value = text }
        return value
    }

    /** Exports what has ended so far. */
    fun flush() {
        provider.forceFlush().join(FLUSH_SECONDS, TimeUnit.SECONDS)
    }

    override fun close() {
        provider.shutdown().join(FLUSH_SECONDS, TimeUnit.SECONDS)
    }

    private object HeaderGetter : TextMapGetter<MultiMap> {
        override fun keys(carrier: MultiMap): Iterable<String> = carrier.names()

        override fun get(carrier: MultiMap?, key: String): String? = carrier?.get(key)
    }

    /** Keeps spans real when nothing is exported; a provider without a processor makes spans that have no trace id. */
    private object NoExport : SpanProcessor {
        override fun onStart(parentContext: Context, span: ReadWriteSpan) = Unit

        override fun isStartRequired(): Boolean = false

        override fun onEnd(span: ReadableSpan) = Unit

        override fun isEndRequired(): Boolean = false
    }

    companion object {
        private const val FLUSH_SECONDS = 2L
        private val TARGET: AttributeKey<String> = AttributeKey.stringKey("server.address")
        private val SERVICE: AttributeKey<String> = AttributeKey.stringKey("service.name")
        private val INSTANCE: AttributeKey<String> = AttributeKey.stringKey("service.instance.id")

        /** Returns tracing with the export that [settings] ask for. */
        fun of(instance: InstanceId, settings: TracingSettings): Tracing {
            val exporter = settings.endpoint.takeIf { it.isNotEmpty() }
                ?.let { OtlpGrpcSpanExporter.builder().setEndpoint(it).build() }
            return Tracing(instance, exporter)
        }

        private fun provider(instance: InstanceId, exporter: SpanExporter?): SdkTracerProvider {
            val resource = Resource.getDefault().toBuilder()
                .put(SERVICE, "parsleymoor-gateway").put(INSTANCE, instance.value).build()
            val builder = SdkTracerProvider.builder().setResource(resource)
            builder.addSpanProcessor(exporter?.let { BatchSpanProcessor.builder(it).build() } ?: NoExport)
            return builder.build()
        }
    }
}

/** Marks the span as failed for [failure]. */
internal fun Span.fail(failure: Failure) {
    setStatus(StatusCode.ERROR, failure.message)
}
