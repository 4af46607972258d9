package org.parsleymoor.gateway.operations

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import java.time.Duration

/** The gateway's meters; names follow Prometheus's conventions in the text form. */
internal class GatewayMetrics {
    /** Other parts of the gateway register their own meters here. */
    val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    fun scrape(): String = registry.scrape()

    fun answered(route: String, status: Int, millis: Long) {
        Timer.builder("parsleymoor.requests").tag("route", route).tag("status", status.toString())
            .register(registry).record(Duration.ofMillis(millis))
    }

    fun refused(reason: String) {
        Counter.builder("parsleymoor.refusals").tag("reason", reason).register(registry).increment()
    }

    fun retried(cause: String) {
        Counter.builder("parsleymoor.retries").tag("cause", cause).register(registry).increment()
    }

    fun dropped(cause: String) {
        Counter.builder("parsleymoor.dropped.chunks").tag("cause", cause).register(registry).increment()
    }

    fun firstToken(model: ModelId, millis: Long, estimateRatio: Double) {
        Timer.builder("parsleymoor.time.to.first.token").tag("model", model.value).publishPercentileHistogram()
            .register(registry).record(Duration.ofMillis(millis))
        DistributionSummary.builder("parsleymoor.first.token.estimate.ratio").register(registry).record(estimateRatio)
    }

    fun context(cachedPieces: Int, recomputedPieces: Int) {
        Counter.builder("parsleymoor.context.pieces").tag("source", "cached").register(registry)
            .increment(cachedPieces.toDouble())
        Counter.builder("parsleymoor.context.pieces").tag("source", "recomputed").register(registry)
            .increment(recomputedPieces.toDouble())
    }

    fun regionLink(organisation: OrganisationId, purpose: String, bytes: Long) {
        Counter.builder("parsleymoor.region.link").baseUnit("bytes").tag("organisation", organisation.value)
            .tag("purpose", purpose).register(registry).increment(bytes.toDouble())
    }

    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name) { value() }.register(registry)
    }

    fun gauge(name: String, tag: String, tagValue: String, value: () -> Number) {
        Gauge.builder(name) { value() }.tag(tag, tagValue).register(registry)
    }
}
