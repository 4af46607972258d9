package org.parsleymoor.entry.serving

/** Where this instance learned that an endpoint leaves. */
internal sealed interface LeavingSource {
    /** A response with [status] to [request], a caller's attempt id or a control request, said [value]. */
    data class Response(val request: String, val status: Int, val value: String) : LeavingSource

    /** Another instance said so. */
    data object Peer : LeavingSource
}
