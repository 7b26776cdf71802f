package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft

/** Records events in the time line and the log. Never blocks. */
public fun interface EventSink {
    /** Records [event]. */
    public fun record(event: EventDraft)
}
