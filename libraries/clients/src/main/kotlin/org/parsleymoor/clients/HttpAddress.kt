package org.parsleymoor.clients

/** A host and a port. */
public data class HttpAddress(public val host: String, public val port: Int) {
    /** The address as `host:port`. */
    public val text: String get() = "$host:$port"

    public companion object {
        /** Parses `host:port`; throws [IllegalArgumentException] if [text] has another form. */
        public fun parse(text: String): HttpAddress {
            val port = text.substringAfterLast(':', "").toIntOrNull()
            require(port != null && port in PORTS) { "expected host:port, found \"$text\"" }
            return HttpAddress(text.substringBeforeLast(':'), port)
        }

        private val PORTS = 1..65_535
    }
}
