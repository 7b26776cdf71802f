package org.lovageladder.daemon

import org.lovageladder.core.EventRecord
import org.lovageladder.core.RequestId
import org.lovageladder.http.AdminHandler
import org.lovageladder.http.EventFilter

/** Answers operators; [status] is the process's state as JSON, [stop] begins to drain it. */
internal class ProcessAdmin(
    private val state: PublishedState,
    private val ring: EventRing,
    private val status: () -> String?,
    private val stop: () -> Unit,
) : AdminHandler {
    override fun ready(): Boolean = state.ready

    override fun statusJson(): String = status() ?: "{}"

    override fun events(filter: EventFilter): List<EventRecord> = ring.select(filter)

    override fun explain(request: RequestId): List<EventRecord> = ring.of(request)

    override fun drain(): Unit = stop()
}
