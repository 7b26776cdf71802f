package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft

/** Takes events in for the time line and the log; never blocks. */
public fun interface EventSink {
    /** Records [event]. */
    public fun record(event: EventDraft)
}
