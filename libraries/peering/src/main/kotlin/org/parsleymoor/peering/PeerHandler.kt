package org.parsleymoor.peering

/** Handles connections to peers and the messages they send. Functions are called from several coroutines at once. */
public interface PeerHandler {
    /** A connection to a peer was opened. */
    public suspend fun onConnected(link: PeerLink) {
        // Most handlers need no action here.
    }

    /** A connection has ended; [PeerLink.failure] has the reason. */
    public suspend fun onDisconnected(link: PeerLink) {
        // Most handlers need no action here.
    }

    /**
     * A message that belongs to no exchange arrived. Called in order of arrival; must not wait for the peer, because
     * the link's next message is dispatched only after this returns.
     */
    public suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage)

    /** The peer opened [exchange] with [opening]; the exchange is closed when this returns. */
    public suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage)
}
