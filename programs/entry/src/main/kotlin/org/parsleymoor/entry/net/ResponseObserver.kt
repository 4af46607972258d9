package org.parsleymoor.entry.net

import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.ResponseHead

/** Reads what responses to control requests say beside their body. */
internal fun interface ResponseObserver {
    /** Called before [request] is sent to [address]; the returned function is called with the head of the response. */
    fun sent(address: SocketAddress, request: ControlRequest): (ResponseHead) -> Unit
}
