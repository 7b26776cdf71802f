package org.lovageladder.daemon

import org.lovageladder.core.EventRecord
import org.lovageladder.core.RequestId
import org.lovageladder.http.AdminHandler
import org.lovageladder.http.EventFilter

/** Answers admin requests; [readStatus] returns the process status as JSON, [requestStop] starts draining. */
internal class ProcessAdmin(
    private val state: PublishedState,
    private val ring: EventRing,
    private val readStatus: () -> String?,
    private val requestStop: () -> Unit,
) : AdminHandler {
    override fun isReady(): Boolean = state.ready

    override fun statusJson(): String = readStatus() ?: "{}"

    override fun events(filter: EventFilter): List<EventRecord> = ring.select(filter)

    override fun explain(request: RequestId): List<EventRecord> = ring.of(request)

    override fun startDrain(): Unit = requestStop()
}
