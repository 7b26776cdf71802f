package org.lovageladder.peer

import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventKind
import org.lovageladder.core.Fault
import org.lovageladder.core.HostName
import org.lovageladder.core.PeerMessage

/*
 * Callbacks for the events of connections. They may run on any thread, but for each connection one at a time and in
 * order: connected, then messages, then at most one loss. They must not block.
 */

/** Receives the events of connections that entries opened to this companion. */
public interface ListenerHandler {
    /** The first message of an entry passed its checks; from now on messages can be sent on the connection. */
    public fun connected(connection: ConnectionId, envelope: Envelope, hello: PeerMessage.Hello)

    /** A message arrived. */
    public fun received(connection: ConnectionId, envelope: Envelope)

    /** A connection that was reported as connected ended for another reason than [PeerListener.close]. */
    public fun lost(connection: ConnectionId, fault: Fault)

    /**
     * A connection was closed because a message was invalid or the first one did not arrive in time, or accepting a
     * connection failed. [kind] is the event to record.
     */
    public fun rejected(kind: EventKind, fault: Fault)
}

/** Receives the events of connections that this entry opened. */
public interface DialerHandler {
    /** The first message of the companion passed its checks; from now on messages can be sent on the connection. */
    public fun connected(connection: ConnectionId, envelope: Envelope, welcome: PeerMessage.Welcome)

    /** A message arrived. */
    public fun received(connection: ConnectionId, envelope: Envelope)

    /** A connection could not be opened, or ended for another reason than [PeerDialer.close]. */
    public fun lost(connection: ConnectionId, host: HostName, fault: Fault)

    /**
     * A connection was closed because a message was invalid or the first one did not arrive in time. [kind] is the
     * event to record.
     */
    public fun rejected(kind: EventKind, fault: Fault)
}
