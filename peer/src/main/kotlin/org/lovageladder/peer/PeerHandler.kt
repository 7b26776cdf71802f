package org.lovageladder.peer

import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventKind
import org.lovageladder.core.Fault
import org.lovageladder.core.HostName
import org.lovageladder.core.PeerMessage

/*
 * What a process is told of its connections. Calls come on any thread, but one at a time and in order for each
 * connection: established, then messages, then at most one loss. They must not block.
 */

/** Receives what happens on connections that entries opened. */
public interface ListenerHandler {
    /** An entry's first message was checked; the connection can be sent to. */
    public fun connected(connection: ConnectionId, envelope: Envelope, hello: PeerMessage.Hello)

    /** A message arrived. */
    public fun received(connection: ConnectionId, envelope: Envelope)

    /** A connection that was reported as connected ended, other than by [PeerListener.close]. */
    public fun lost(connection: ConnectionId, fault: Fault)

    /** A connection was closed for what it sent; [kind] is the event that is to be recorded. */
    public fun rejected(kind: EventKind, fault: Fault)
}

/** Receives what happens on connections that this process opened. */
public interface DialerHandler {
    /** The companion's first message arrived; the connection can be sent to. */
    public fun connected(connection: ConnectionId, envelope: Envelope, welcome: PeerMessage.Welcome)

    /** A message arrived. */
    public fun received(connection: ConnectionId, envelope: Envelope)

    /** A connection, or the attempt to open it, ended other than by [PeerDialer.close]. */
    public fun lost(connection: ConnectionId, host: HostName, fault: Fault)

    /** A connection was closed for what it sent; [kind] is the event that is to be recorded. */
    public fun rejected(kind: EventKind, fault: Fault)
}
