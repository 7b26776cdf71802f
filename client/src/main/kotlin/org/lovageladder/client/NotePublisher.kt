package org.lovageladder.client

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.NoteFault
import org.lovageladder.core.ReleaseNote
import org.lovageladder.core.ReleaseState
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.locate
import org.lovageladder.core.readReleaseNote
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A release note as its author wrote it: [text] is the content of [file]. */
internal data class NoteDocument(val file: String, val text: String, val note: ReleaseNote)

/** Reads the text of a note's file; fails with all faults of form. */
internal fun readDocument(file: String, text: String): Result<NoteDocument, ClientFailure> {
    val note = readReleaseNote(text).getOrElse { return Err(ClientFailure.NoteRejected(file, it)) }
    return Ok(NoteDocument(file, text, note))
}

/** Checks the content of a note against the release that it is to follow. */
internal fun checkContent(document: NoteDocument, state: ReleaseState): Result<NoteDocument, ClientFailure> {
    val faults = state.check(document.note).map { locate(document.text, it) }
    return if (faults.isEmpty()) Ok(document) else Err(ClientFailure.NoteRejected(document.file, faults))
}

/** Checks that the author of a note saw the newest release. */
internal fun checkBase(document: NoteDocument, history: NoteHistory): Result<NoteDocument, ClientFailure> {
    val base = document.note.base
    val newest = history.state.version
    val message = "is $base; allowed: a version that was accepted, 0 to $newest"
    val fault = locate(document.text, NoteFault("base", message))
    return when {
        base == newest -> Ok(document)
        base.number < 0 || base > newest -> Err(ClientFailure.NoteRejected(document.file, listOf(fault)))
        else -> Err(ClientFailure.NoteConflict(document.note, history.notesAfter(base)))
    }
}

/** How a note came to be in force as [accepted]. */
@Serializable
internal data class Publication(val accepted: AcceptedNote, val earlier: Boolean)

/**
 * Publishes release notes. The one write is the creation of the note under the next version, when nothing stands
 * there: of two racing operators one wins. When its answer is lost the write is repeated, which changes nothing if
 * the first took effect, and the note that stands at the version is told apart by its identifier.
 * After [giveUpAfter] without an answer the outcome is reported as unknown.
 */
internal class NotePublisher(
    private val notes: NoteStore,
    private val giveUpAfter: Duration = DEFAULT_GIVE_UP_AFTER,
    private val repeatAfter: Duration = DEFAULT_REPEAT_AFTER,
) {
    fun publish(document: NoteDocument): Result<Publication, ClientFailure> {
        val note = document.note
        val history = notes.readHistory("not accepted, nothing was sent").getOrElse { return Err(it) }
        val earlier = history.notes.find { it.note.id == note.id }
        if (earlier != null) return recognise(note, earlier)
        return checkBase(document, history)
            .andThen { checkContent(document, history.state) }
            .andThen { create(AcceptedNote(history.state.version.next(), note)) }
    }

    private fun recognise(note: ReleaseNote, earlier: AcceptedNote): Result<Publication, ClientFailure> =
        if (earlier.note == note) Ok(Publication(earlier, earlier = true)) else Err(ClientFailure.NoteIdTaken(earlier))

    private fun create(accepted: AcceptedNote): Result<Publication, ClientFailure> {
        val deadline = TimeSource.Monotonic.markNow() + giveUpAfter
        var sent = false
        while (true) {
            val answer = notes.create(accepted)
            val fault = when (answer) {
                is StoreAnswer.Written -> return Ok(Publication(accepted, earlier = false))
                is StoreAnswer.Conflict -> return resolve(accepted, answer)
                is StoreAnswer.Unavailable -> answer.fault
                is StoreAnswer.Found, is StoreAnswer.Leased -> unexpected(answer)
            }
            sent = sent || fault.cause != FaultCause.UNREACHABLE
            if (deadline.hasPassedNow()) return Err(givenUp(accepted, fault, sent))
            Thread.sleep(repeatAfter.inWholeMilliseconds)
        }
    }

    private fun givenUp(accepted: AcceptedNote, fault: Fault, sent: Boolean): ClientFailure = if (sent) {
        ClientFailure.PublicationUnknown(accepted.note, accepted.version, fault)
    } else {
        ClientFailure.StoreUnreachable(fault, "not accepted, nothing was sent")
    }

    private fun resolve(accepted: AcceptedNote, conflict: StoreAnswer.Conflict): Result<Publication, ClientFailure> {
        val current = conflict.current.firstOrNull()
            ?: return Err(ClientFailure.PublicationUnknown(accepted.note, accepted.version, unexpected(conflict)))
        val winner = readEntry(current).getOrElse { return Err(it) }
        if (winner.note.id == accepted.note.id) return recognise(accepted.note, winner)
        val history = notes.readHistory("the notes that were accepted since cannot be read")
        val since = history.map { it.notesAfter(accepted.note.base) }.getOrElse { listOf(winner) }
        return Err(ClientFailure.NoteConflict(accepted.note, since))
    }

    companion object {
        val DEFAULT_GIVE_UP_AFTER: Duration = 10.seconds
        private val DEFAULT_REPEAT_AFTER: Duration = 200.milliseconds
    }
}
