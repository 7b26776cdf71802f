package org.lovageladder.client

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import kotlinx.serialization.builtins.ListSerializer
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.ReleaseState
import org.lovageladder.core.ReleaseVersion
import kotlin.time.Duration

/*
 * Commands on release notes.
 */

/** Group of the commands on release notes. */
internal class NoteCommand : NoOpCliktCommand("note") {
    init {
        subcommands(NoteCheckCommand(), NotePublishCommand(), NoteShowCommand(), NoteHistoryCommand())
    }

    override fun help(context: Context): String = "Check, publish and read release notes."
}

private class NoteCheckCommand :
    ClientCommand("check", "Check a release note: its format, and its content against the release in force.") {
    private val file by argument("FILE", help = "Release note as JSON.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val storeOptions by StoreOptions()

    override fun execute(): Result<Unit, ClientFailure> = parseDocument(file.path, file.readText())
        .andThen { document -> checkAgainstRelease(document) }
        .map { check -> print(check, NoteCheck.serializer()) { it.describe(file.path) } }

    private fun checkAgainstRelease(document: NoteDocument): Result<NoteCheck, ClientFailure> {
        if (storeOptions.addresses != null) return withNoteStore(storeOptions) { checkAgainstStore(it, document) }
        if (document.note.base != ReleaseVersion.NONE) return Ok(NoteCheck(document.note.id, against = null))
        return checkContent(document, ReleaseState.EMPTY).map { NoteCheck(document.note.id, ReleaseVersion.NONE) }
    }

    private fun checkAgainstStore(noteStore: NoteStore, document: NoteDocument): Result<NoteCheck, ClientFailure> =
        noteStore.readHistory("the content cannot be checked")
            .andThen { history -> checkBase(document, history).map { history.state } }
            .andThen { state -> checkContent(document, state).map { NoteCheck(document.note.id, state.version) } }
}

private class NotePublishCommand :
    ClientCommand("publish", "Publish a release note. An accepted note takes effect in all processes and is final.") {
    private val file by argument("FILE", help = "Release note as JSON.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val storeOptions by StoreOptions()
    private val retryTimeout: Duration by option(
        "--give-up-after",
        envvar = "LOVAGELADDER_GIVE_UP_AFTER",
        metavar = "DURATION",
        help = "How long to retry while the key-value service does not answer (default 10s).",
    ).convert { parseDuration(it) }.default(NotePublisher.DEFAULT_RETRY_TIMEOUT)

    override fun execute(): Result<Unit, ClientFailure> = parseDocument(file.path, file.readText())
        .andThen { document -> withNoteStore(storeOptions) { NotePublisher(it, retryTimeout).publish(document) } }
        .map { publication -> print(publication, Publication.serializer()) { it.describe() } }
}

private class NoteShowCommand :
    ClientCommand("show", "Show one accepted note (without VERSION the newest), or the release in force after it.") {
    private val version by argument("VERSION", help = "Version of the note.")
        .long().restrictTo(1..Long.MAX_VALUE).optional()
    private val inForce by option("--in-force", help = "Show everything in force after the note.").flag()
    private val storeOptions by StoreOptions()

    override fun execute(): Result<Unit, ClientFailure> =
        withNoteStore(storeOptions) { it.readHistory("the notes cannot be read") }
            .andThen { history -> notesUpToVersion(history) }
            .andThen { notes -> if (inForce) showRelease(notes) else showNote(notes.last()) }

    private fun notesUpToVersion(history: NoteHistory): Result<List<AcceptedNote>, ClientFailure> {
        val newestVersion = history.state.version
        val requestedVersion = version?.let { ReleaseVersion(it) } ?: newestVersion
        if (newestVersion == ReleaseVersion.NONE) {
            return Err(ClientFailure.NothingFound("no release note was accepted yet"))
        }
        if (requestedVersion > newestVersion) {
            return Err(ClientFailure.BadArgument("VERSION is $requestedVersion; allowed: 1 to $newestVersion"))
        }
        return Ok(history.notes.filter { it.version <= requestedVersion })
    }

    private fun showNote(accepted: AcceptedNote): Result<Unit, ClientFailure> {
        print(accepted, AcceptedNote.serializer()) { describeNote(it) }
        return Ok(Unit)
    }

    private fun showRelease(notes: List<AcceptedNote>): Result<Unit, ClientFailure> =
        buildHistory(notes).map { history ->
            print(releaseInForce(history.state), ReleaseInForce.serializer()) { it.describe() }
        }
}

private class NoteHistoryCommand : ClientCommand("history", "List all accepted notes.") {
    private val storeOptions by StoreOptions()

    override fun execute(): Result<Unit, ClientFailure> =
        withNoteStore(storeOptions) { it.readHistory("the notes cannot be read") }
            .map { history ->
                print(history.notes, ListSerializer(AcceptedNote.serializer())) { describeNotes(it) }
                history.ineffectiveNotes.forEach { echo(it.describe(), err = true) }
            }
}
