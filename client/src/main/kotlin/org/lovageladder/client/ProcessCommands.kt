package org.lovageladder.client

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.lovageladder.core.ReleaseState
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import org.lovageladder.http.EventFilter
import java.time.Instant
import java.time.format.DateTimeParseException
import kotlin.time.Duration

/*
 * Commands that query or drain processes.
 */

internal class StatusCommand : ProcessCommand("status", "Show every process: its state, release and work.") {
    override fun execute(): Result<Unit, ClientFailure> = selectProcesses().andThen { selection ->
        val result = queryStatuses(selection.targets)
        val processes = result.answers.map { ReportedProcess(it.target.address, it.target.host, it.value) }
        print(StatusReport(processes, result.unreachable), StatusReport.serializer()) { it.describe() }
        requireAllAnswered(result.unreachable)
    }
}

internal class UpstreamsCommand :
    ProcessCommand("upstreams", "Show every upstream: its load at its companion, its state at the entries.") {
    override fun execute(): Result<Unit, ClientFailure> = selectProcesses().andThen {
        requireRelease(it)
    }.andThen { selection ->
        val result = queryStatuses(selection.targets)
        print(reportUpstreams(selection.release, result), UpstreamReport.serializer()) { it.describe() }
        requireAllAnswered(result.unreachable)
    }
}

private fun requireRelease(selection: ProcessSelection): Result<ProcessSelection, ClientFailure> =
    if (selection.release == ReleaseState.EMPTY) {
        Err(ClientFailure.NothingFound("no release is in force: there are no upstreams to show"))
    } else {
        Ok(selection)
    }

internal class TimelineCommand :
    ProcessCommand("timeline", "Show the events of all processes in one order, oldest first.") {
    private val request by option("--request", help = "Only events of this request.")
    private val upstream by option("--upstream", help = "Only events of this upstream.")
    private val note by option("--note", metavar = "VERSION", help = "Only events of this release note.")
        .long().restrictTo(1..Long.MAX_VALUE)
    private val since by option(
        "--since",
        metavar = "DURATION|TIME",
        help = "Only events of the last DURATION (5m), or after TIME (2026-01-31T08:00:00Z).",
    ).convert { value ->
        parseSince(value) ?: fail("'$value' given; allowed: a duration such as 5m, or an ISO 8601 time")
    }
    private val limit by option("--limit", help = "Maximum number of events of each process (default 1000).")
        .int().restrictTo(1..MAXIMUM_EVENT_LIMIT).default(DEFAULT_EVENT_LIMIT)

    override fun execute(): Result<Unit, ClientFailure> = selectProcesses().andThen { selection ->
        val result = withAdminClient { client -> queryAll(selection.targets) { client.events(it, filter()) } }
        val timeline = mergeEvents(result.answers.map { it.value }, result.unreachable)
        print(timeline, Timeline.serializer()) { it.describe() }
        requireAllAnswered(result.unreachable)
    }

    private fun filter() = EventFilter(
        request = request?.let { RequestId(it) },
        upstream = upstream?.let { UpstreamName(it) },
        note = note?.let { ReleaseVersion(it) },
        afterMilliseconds = since?.toEpochMilli(),
        limit = limit,
    )

    private fun parseSince(value: String): Instant? {
        val duration = Duration.parseOrNull(value)
        if (duration != null) return Instant.now().minusMillis(duration.inWholeMilliseconds)
        return try {
            Instant.parse(value)
        } catch (_: DateTimeParseException) {
            null
        }
    }

    private companion object {
        const val DEFAULT_EVENT_LIMIT = 1000
        const val MAXIMUM_EVENT_LIMIT = 100_000
    }
}

internal class ExplainCommand :
    ProcessCommand("explain", "Explain how a request was routed, or why it was refused.") {
    private val request by argument("REQUEST", help = "Identifier of the request, as given in its answer.")

    override fun execute(): Result<Unit, ClientFailure> = selectProcesses().andThen { selection ->
        val result = withAdminClient { client ->
            queryAll(selection.targets) { client.explain(it, RequestId(request)) }
        }
        val timeline = mergeEvents(result.answers.map { it.value }, result.unreachable)
        if (timeline.events.isNotEmpty()) print(explain(timeline), Explanation.serializer()) { it.describe() }
        requireAllAnswered(result.unreachable).andThen { requireFound(timeline) }
    }

    private fun requireFound(timeline: Timeline): Result<Unit, ClientFailure> = if (timeline.events.isEmpty()) {
        Err(ClientFailure.NothingFound("no process has events of request '$request'"))
    } else {
        Ok(Unit)
    }
}

internal class DrainCommand :
    ProcessCommand("drain", "Let a process finish its work, accept nothing new, and exit.") {
    private val process by argument("HOST|PROCESS|IP:PORT", help = "Host or process to drain, or its admin address.")

    override fun execute(): Result<Unit, ClientFailure> = findTarget().andThen { target ->
        withAdminClient { it.startDrain(target.address) }
            .mapError { ClientFailure.ProcessUnreachable(it, "$target was not told to drain, or did not confirm it") }
            .map { echo("$target is draining: it accepts nothing new and exits when its work is finished") }
    }

    private fun findTarget(): Result<ProcessTarget, ClientFailure> {
        val address = parseAddressOrNull(process)
        if (address != null) return Ok(ProcessTarget(address, host = null))
        return selectProcesses().andThen { selection ->
            val host = selection.targets.find { it.host?.name?.text == process }
            if (host == null) findByProcessName(selection) else Ok(host)
        }
    }

    private fun findByProcessName(selection: ProcessSelection): Result<ProcessTarget, ClientFailure> {
        val result = queryStatuses(selection.targets)
        val found = result.answers.find { it.value.process.text == process }
        if (found != null) return Ok(found.target)
        val knownNames = result.answers.joinToString { it.value.process.text }
        val message = "no host or process is named '$process'; processes that answered: $knownNames" +
            describeUnreachable(result.unreachable)
        return Err(ClientFailure.BadArgument(message))
    }
}
