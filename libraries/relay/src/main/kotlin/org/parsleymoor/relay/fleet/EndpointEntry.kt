package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId

/** A `host:port` address. */
public data class SocketAddress(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port`; returns null for other text. */
        public fun parse(text: String): SocketAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull()
            val host = text.substringBeforeLast(':')
            return if (port != null && port in PORTS && host.isNotEmpty()) SocketAddress(host, port) else null
        }

        private val PORTS = 1..65_535
    }
}

/**
 * What an endpoint registers in the discovery list. [coldMillis] is how much longer it is cold, that is, can take only
 * little load after a start; [startMillis] tells one start of the endpoint from another.
 */
public data class EndpointEntry(
    public val id: EndpointId,
    public val service: String,
    public val address: SocketAddress,
    public val zone: ZoneId,
    public val draining: Boolean,
    public val slots: Int,
    public val coldMillis: Long = 0,
    public val startMillis: Long? = null,
    public val weights: Map<ModelId, Long> = emptyMap(),
)
