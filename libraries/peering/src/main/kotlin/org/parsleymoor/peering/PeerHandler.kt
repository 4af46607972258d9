package org.parsleymoor.peering

/** What a gateway does with what its peers send. Functions are called from several coroutines at once. */
public interface PeerHandler {
    /** A connection to a peer is open. */
    public suspend fun onConnected(link: PeerLink) {
        // Most handlers need no action here.
    }

    /** A connection has ended for the reason in [PeerLink.failure]. */
    public suspend fun onDisconnected(link: PeerLink) {
        // Most handlers need no action here.
    }

    /** A message outside of exchanges arrived; called in order of arrival and must not wait for the peer. */
    public suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage)

    /** The peer opened [exchange] with [opening]; the exchange is closed when this returns. */
    public suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage)
}
