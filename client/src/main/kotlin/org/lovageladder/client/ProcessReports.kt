package org.lovageladder.client

import kotlinx.serialization.Serializable
import org.lovageladder.core.Address
import org.lovageladder.core.CompanionStatus
import org.lovageladder.core.EntryStatus
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.ReleaseState
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.UpstreamLoad
import org.lovageladder.core.UpstreamState
import org.lovageladder.core.UpstreamView
import java.util.Locale

/*
 * What the commands on processes and upstreams print.
 */

/** Status of all processes that were asked. */
@Serializable
internal data class StatusReport(val processes: List<ReportedProcess>, val unreachable: List<Unanswered>) {
    fun describe(): String {
        val headings = listOf("PROCESS", "ROLE", "PLACE", "ADMIN", "STATE", "RELEASE", "WORK")
        return Table(headings, processes.map { it.cells() }).render() + describeUnreachable(unreachable)
    }
}

/** One process that answered; [host] is null when the release names no host at its address. */
@Serializable
internal data class ReportedProcess(val address: Address, val host: ReleaseEntry.Host?, val status: ProcessStatus) {
    fun cells(): List<String> {
        val place = host?.place?.text ?: ABSENT
        val rest = when (val status = status) {
            is ProcessStatus.OfEntry -> listOf(stateOf(status.status), "${status.release}", workOf(status.status))
            is ProcessStatus.OfCompanion -> listOf(stateOf(status.status), "${status.release}", workOf(status.status))
        }
        val role = when (status) {
            is ProcessStatus.OfEntry -> "entry"
            is ProcessStatus.OfCompanion -> "companion"
        }
        return listOf(status.process.text, role, place, address.toString()) + rest
    }
}

private fun stateOf(status: EntryStatus): String = when {
    status.draining -> "draining"
    status.ready -> "ready"
    else -> "not ready"
}

private fun stateOf(status: CompanionStatus): String = when {
    status.leaving -> "leaving"
    status.ready -> "ready"
    else -> "not ready"
}

private fun workOf(status: EntryStatus): String =
    "${status.requestsInFlight} requests, ${status.connectedHosts.size} hosts connected"

private fun workOf(status: CompanionStatus): String =
    "${status.runningCalls} calls, ${status.reservations} reservations, " +
        "${status.connectedEntries.size} entries connected"

/** All upstreams of a release as companions and entries see them. */
@Serializable
internal data class UpstreamReport(
    val release: ReleaseVersion,
    val upstreams: List<ReportedUpstream>,
    val unreachable: List<Unanswered>,
) {
    fun describe(): String {
        val headings =
            listOf("UPSTREAM", "POOL", "HOST", "PLACE", "STATE", "PIECES FREE", "RUNNING", "WAITING", "FIRST", "GAP")
        return Table(headings, upstreams.map { it.cells() }).render() + describeUnreachable(unreachable)
    }
}

/** An upstream, its companion's [load] (null when that did not answer) and the [views] of the entries. */
@Serializable
internal data class ReportedUpstream(
    val upstream: ReleaseEntry.Upstream,
    val host: ReleaseEntry.Host?,
    val load: UpstreamLoad?,
    val views: List<UpstreamView>,
) {
    fun cells(): List<String> = listOf(
        upstream.name.text,
        upstream.pool.text,
        upstream.host.text,
        host?.place?.text ?: ABSENT,
        describeStates(),
        if (load == null || load.piecesTotal == 0) ABSENT else "${load.piecesFree}/${load.piecesTotal}",
        load?.running?.toString() ?: ABSENT,
        load?.waiting?.toString() ?: ABSENT,
        milliseconds(views.maxOfOrNull { it.firstLatencyMicroseconds }),
        milliseconds(views.maxOfOrNull { it.tokenGapMicroseconds }),
    )

    /** The state that all entries agree on, or each state with the number of entries that see it. */
    private fun describeStates(): String {
        val counts = views.groupingBy { it.state }.eachCount()
        return when (counts.size) {
            0 -> ABSENT
            1 -> nameOf(counts.keys.single())
            else -> counts.entries.sortedBy { it.key }.joinToString { "${nameOf(it.key)} at ${it.value}" }
        }
    }
}

/** Joins what the companions and entries that answered say of each upstream of [release]. */
internal fun reportUpstreams(release: ReleaseState, answers: Answers<ProcessStatus>): UpstreamReport {
    val statuses = answers.given.map { it.value }
    val loads = statuses.filterIsInstance<ProcessStatus.OfCompanion>().flatMap { it.status.loads }
    val views = statuses.filterIsInstance<ProcessStatus.OfEntry>().flatMap { it.status.upstreams }
    val upstreams = release.upstreams.values.sortedWith(compareBy({ it.pool.text }, { it.name.text }))
    val reported = upstreams.map { upstream ->
        ReportedUpstream(
            upstream = upstream,
            host = release.hosts[upstream.host],
            load = loads.find { it.upstream == upstream.name },
            views = views.filter { it.upstream == upstream.name },
        )
    }
    return UpstreamReport(release.version, reported, answers.unanswered)
}

/** Lines for the processes that did not answer; empty when all did. */
internal fun describeUnreachable(unreachable: List<Unanswered>): String =
    unreachable.joinToString("") { "\nno answer from $it" }

private fun nameOf(state: UpstreamState): String = state.name.lowercase()

private const val MICROSECONDS_PER_MILLISECOND = 1000.0

private fun milliseconds(microseconds: Long?): String = if (microseconds == null || microseconds <= 0) {
    ABSENT
} else {
    String.format(Locale.ROOT, "%.1fms", microseconds / MICROSECONDS_PER_MILLISECOND)
}
