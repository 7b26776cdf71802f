package org.lovageladder.client

import kotlinx.serialization.Serializable
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.Address
import org.lovageladder.core.EntryKey
import org.lovageladder.core.LatencyTarget
import org.lovageladder.core.NoteId
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.ReleaseState
import org.lovageladder.core.ReleaseVersion

/*
 * Output of the commands on release notes.
 */

/** Result of a check; [against] is the version that the content was checked against, null when only the format was. */
@Serializable
internal data class NoteCheck(val id: NoteId, val against: ReleaseVersion?) {
    fun describe(file: String): String = when (against) {
        null -> "$file: the format is valid; pass --store to check the content against the release in force"
        else -> "$file: can be published; checked against version $against"
    }
}

internal fun Publication.describe(): String = when {
    earlier -> "note '${accepted.note.id}' was accepted before, as version ${accepted.version}"
    else -> "note '${accepted.note.id}' is accepted as version ${accepted.version}"
}

internal fun IneffectiveNote.describe(): String =
    "version $version has no effect: " + faults.joinToString("; ") { "${it.field} ${it.message}" }

/** All entries in force at [version]. */
@Serializable
internal data class ReleaseInForce(val version: ReleaseVersion, val entries: List<ReleaseEntry>) {
    fun describe(): String {
        val rows = entries.map { listOf(kindOf(it.key), it.key.name, describeEntry(it)) }
        return "version $version\n" + Table(listOf("KIND", "NAME", "SETTINGS"), rows).render()
    }
}

/** Returns all entries of [state], sorted by kind and name. */
internal fun releaseInForce(state: ReleaseState): ReleaseInForce {
    val entries: List<ReleaseEntry> = state.hosts.values + state.pools.values + state.upstreams.values +
        state.services.values + state.classes.values
    return ReleaseInForce(state.version, entries.sortedWith(compareBy({ it.key.kind }, { it.key.name })))
}

/** Describes one note: its version and origin, then a row for each entry that it adds, changes or withdraws. */
internal fun describeNote(accepted: AcceptedNote): String {
    val note = accepted.note
    val rows = note.added.map { changeRow("added", it) } +
        note.changed.map { changeRow("changed", it) } +
        note.withdrawn.map { listOf("withdrawn", kindOf(it), it.name, ABSENT_CELL) }
    val author = note.author.ifEmpty { ABSENT_CELL }
    return "version ${accepted.version}  id ${note.id}  author $author  base ${note.base}\n" +
        Table(listOf("CHANGE", "KIND", "NAME", "SETTINGS"), rows).render()
}

/** Describes accepted notes, one row each. */
internal fun describeNotes(notes: List<AcceptedNote>): String {
    val headings = listOf("VERSION", "ID", "AUTHOR", "BASE", "ADDED", "CHANGED", "WITHDRAWN")
    val rows = notes.map { accepted ->
        val note = accepted.note
        listOf(
            accepted.version.toString(),
            note.id.text,
            note.author.ifEmpty { ABSENT_CELL },
            note.base.toString(),
            note.added.size.toString(),
            note.changed.size.toString(),
            note.withdrawn.size.toString(),
        )
    }
    return Table(headings, rows).render()
}

private fun changeRow(change: String, entry: ReleaseEntry): List<String> =
    listOf(change, kindOf(entry.key), entry.key.name, describeEntry(entry))

private fun kindOf(key: EntryKey): String = key.kind.name.lowercase()

private fun describeEntry(entry: ReleaseEntry): String = when (entry) {
    is ReleaseEntry.Host -> describeHost(entry)
    is ReleaseEntry.Pool -> "role ${entry.role.name.lowercase()}"
    is ReleaseEntry.Upstream -> describeUpstream(entry)
    is ReleaseEntry.Service -> describeService(entry)
    is ReleaseEntry.RequestClass -> describeClass(entry)
}

private fun describeHost(host: ReleaseEntry.Host): String {
    val peer = host.peerAddress?.let { address: Address -> ", peer $address" }.orEmpty()
    return "${host.role.name.lowercase()} in ${host.place}$peer, admin ${host.adminAddress}"
}

private fun describeUpstream(upstream: ReleaseEntry.Upstream): String {
    val memory = if (upstream.pieces > 0) ", ${upstream.pieces} pieces" else ""
    val fencing = if (upstream.checksFencing) ", checks fencing" else ""
    val adapters = if (upstream.adapters.isEmpty()) "" else ", adapters ${upstream.adapters.joinToString(" ")}"
    return "pool ${upstream.pool}, host ${upstream.host}, ${upstream.address}, " +
        "${upstream.runningLimit} at once$memory$fencing$adapters"
}

private fun describeService(service: ReleaseEntry.Service): String {
    val pools = when (val plain = service.plainPool) {
        null -> "prefill ${service.prefillPool}, decode ${service.decodePool}, model ${service.model ?: ABSENT_CELL}"
        else -> "plain $plain"
    }
    return "$pools, default class ${service.defaultClass}"
}

private fun describeClass(requestClass: ReleaseEntry.RequestClass): String {
    val target = when (val target = requestClass.target) {
        is LatencyTarget.Stream -> "first token ${target.firstToken}, token gap ${target.tokenGap}"
        is LatencyTarget.Answer -> "answer within ${target.within}"
    }
    val idempotence = if (requestClass.idempotent) "idempotent" else "not idempotent"
    return "$target, $idempotence, worth ${requestClass.worth}, priority ${requestClass.priority}, " +
        "share ${requestClass.share}, at most ${requestClass.outputBound} tokens"
}
