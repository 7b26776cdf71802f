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
 * Commands that ask the processes of the system.
 */

internal class StatusCommand : ProcessCommand("status", "Show every process: its state, release and work.") {
    override fun execute(): Result<Unit, ClientFailure> = findSystem().andThen { system ->
        val answers = askStatuses(system.targets)
        val processes = answers.given.map { ReportedProcess(it.target.address, it.target.host, it.value) }
        print(StatusReport(processes, answers.unanswered), StatusReport.serializer()) { it.describe() }
        requireAll(answers.unanswered)
    }
}

internal class UpstreamsCommand :
    ProcessCommand("upstreams", "Show every upstream: its load at its companion, its state at the entries.") {
    override fun execute(): Result<Unit, ClientFailure> = findSystem().andThen {
        requireRelease(it)
    }.andThen { system ->
        val answers = askStatuses(system.targets)
        print(reportUpstreams(system.release, answers), UpstreamReport.serializer()) { it.describe() }
        requireAll(answers.unanswered)
    }
}

private fun requireRelease(system: FoundSystem): Result<FoundSystem, ClientFailure> =
    if (system.release == ReleaseState.EMPTY) {
        Err(ClientFailure.NothingFound("no release is in force: there are no upstreams to show"))
    } else {
        Ok(system)
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
    ).convert { value -> since(value) ?: fail("'$value' given; allowed: a duration such as 5m, or an ISO 8601 time") }
    private val limit by option("--limit", help = "At most so many events of each process (default 1000).")
        .int().restrictTo(1..MAXIMUM_EVENTS).default(DEFAULT_EVENTS)

    override fun execute(): Result<Unit, ClientFailure> = findSystem().andThen { system ->
        val answers = withAdmin { client -> askAll(system.targets) { client.events(it, filter()) } }
        val timeline = mergeEvents(answers.given.map { it.value }, answers.unanswered)
        print(timeline, Timeline.serializer()) { it.describe() }
        requireAll(answers.unanswered)
    }

    private fun filter() = EventFilter(
        request = request?.let { RequestId(it) },
        upstream = upstream?.let { UpstreamName(it) },
        note = note?.let { ReleaseVersion(it) },
        afterMilliseconds = since?.toEpochMilli(),
        limit = limit,
    )

    private fun since(value: String): Instant? {
        val duration = Duration.parseOrNull(value)
        if (duration != null) return Instant.now().minusMillis(duration.inWholeMilliseconds)
        return try {
            Instant.parse(value)
        } catch (_: DateTimeParseException) {
            null
        }
    }

    private companion object {
        const val DEFAULT_EVENTS = 1000
        const val MAXIMUM_EVENTS = 100_000
    }
}

internal class ExplainCommand :
    ProcessCommand("explain", "Tell why a request went where it went, or was refused.") {
    private val request by argument("REQUEST", help = "Identifier of the request, as its answer carried it.")

    override fun execute(): Result<Unit, ClientFailure> = findSystem().andThen { system ->
        val answers = withAdmin { client -> askAll(system.targets) { client.explain(it, RequestId(request)) } }
        val timeline = mergeEvents(answers.given.map { it.value }, answers.unanswered)
        if (timeline.events.isNotEmpty()) print(explain(timeline), Explanation.serializer()) { it.describe() }
        requireAll(answers.unanswered).andThen { requireFound(timeline) }
    }

    private fun requireFound(timeline: Timeline): Result<Unit, ClientFailure> = if (timeline.events.isEmpty()) {
        Err(ClientFailure.NothingFound("no process knows request '$request'"))
    } else {
        Ok(Unit)
    }
}

internal class DrainCommand :
    ProcessCommand("drain", "Let a process finish what it has, take nothing new, and exit.") {
    private val process by argument("HOST|PROCESS|IP:PORT", help = "Host or process to drain, or its admin address.")

    override fun execute(): Result<Unit, ClientFailure> = findTarget().andThen { target ->
        withAdmin { it.drain(target.address) }
            .mapError { ClientFailure.ProcessUnreachable(it, "$target was not told to drain, or did not confirm it") }
            .map { echo("$target drains: it takes nothing new and exits when its work is finished") }
    }

    private fun findTarget(): Result<Target, ClientFailure> {
        val address = readAddress(process)
        if (address != null) return Ok(Target(address, host = null))
        return findSystem().andThen { system ->
            val host = system.targets.find { it.host?.name?.text == process }
            if (host == null) findByProcess(system) else Ok(host)
        }
    }

    private fun findByProcess(system: FoundSystem): Result<Target, ClientFailure> {
        val answers = askStatuses(system.targets)
        val found = answers.given.find { it.value.process.text == process }
        if (found != null) return Ok(found.target)
        val known = answers.given.joinToString { it.value.process.text }
        val message = "no host or process is named '$process'; processes that answered: $known" +
            describeUnreachable(answers.unanswered)
        return Err(ClientFailure.BadArgument(message))
    }
}
