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

/** A parsed release note and the [text] of the [file] that it came from. */
internal data class NoteDocument(val file: String, val text: String, val note: ReleaseNote)

/** Parses the text of a note's file; a failure lists all faults of its format. */
internal fun parseDocument(file: String, text: String): Result<NoteDocument, ClientFailure> {
    val note = readReleaseNote(text).getOrElse { return Err(ClientFailure.NoteRejected(file, it)) }
    return Ok(NoteDocument(file, text, note))
}

/** Checks the content of a note against [state], the release that it would follow. */
internal fun checkContent(document: NoteDocument, state: ReleaseState): Result<NoteDocument, ClientFailure> {
    val faults = state.check(document.note).map { locate(document.text, it) }
    return if (faults.isEmpty()) Ok(document) else Err(ClientFailure.NoteRejected(document.file, faults))
}

/** Checks that a note is based on the newest accepted version. */
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

/** Result of publishing a note: it is [accepted], and [earlier] says whether an earlier call had published it. */
@Serializable
internal data class Publication(val accepted: AcceptedNote, val earlier: Boolean)

/**
 * Publishes release notes. The only write creates the note under the next version if that key does not exist yet, so
 * one of several concurrent publishers succeeds. When the answer is lost, the write is retried. This changes nothing if
 * the first write took effect: the retry conflicts, and the identifier of the stored note shows which note it is.
 * After [retryTimeout] without an answer the outcome is reported as unknown, unless no write can have been sent.
 */
internal class NotePublisher(
    private val noteStore: NoteStore,
    private val retryTimeout: Duration = DEFAULT_RETRY_TIMEOUT,
    private val retryDelay: Duration = DEFAULT_RETRY_DELAY,
) {
    fun publish(document: NoteDocument): Result<Publication, ClientFailure> {
        val note = document.note
        val history = noteStore.readHistory("not accepted, nothing was sent").getOrElse { return Err(it) }
        val earlier = history.notes.find { it.note.id == note.id }
        if (earlier != null) return resolveDuplicateId(note, earlier)
        return checkBase(document, history)
            .andThen { checkContent(document, history.state) }
            .andThen { createNote(AcceptedNote(history.state.version.next(), note)) }
    }

    private fun resolveDuplicateId(note: ReleaseNote, earlier: AcceptedNote): Result<Publication, ClientFailure> =
        if (earlier.note == note) Ok(Publication(earlier, earlier = true)) else Err(ClientFailure.NoteIdTaken(earlier))

    private fun createNote(accepted: AcceptedNote): Result<Publication, ClientFailure> {
        val deadline = TimeSource.Monotonic.markNow() + retryTimeout
        var mayHaveBeenSent = false
        while (true) {
            val answer = noteStore.create(accepted)
            val fault = when (answer) {
                is StoreAnswer.Written -> return Ok(Publication(accepted, earlier = false))
                is StoreAnswer.Conflict -> return resolveConflict(accepted, answer)
                is StoreAnswer.Unavailable -> answer.fault
                is StoreAnswer.Found, is StoreAnswer.Leased -> unexpectedAnswerFault(answer)
            }
            mayHaveBeenSent = mayHaveBeenSent || fault.cause != FaultCause.UNREACHABLE
            if (deadline.hasPassedNow()) return Err(timeoutFailure(accepted, fault, mayHaveBeenSent))
            Thread.sleep(retryDelay.inWholeMilliseconds)
        }
    }

    private fun timeoutFailure(accepted: AcceptedNote, fault: Fault, mayHaveBeenSent: Boolean): ClientFailure =
        if (mayHaveBeenSent) {
            ClientFailure.PublicationUnknown(accepted.note, accepted.version, fault)
        } else {
            ClientFailure.StoreUnreachable(fault, "not accepted, nothing was sent")
        }

    private fun resolveConflict(
        accepted: AcceptedNote,
        conflict: StoreAnswer.Conflict,
    ): Result<Publication, ClientFailure> {
        val current = conflict.current.firstOrNull()
            ?: return Err(
                ClientFailure.PublicationUnknown(accepted.note, accepted.version, unexpectedAnswerFault(conflict)),
            )
        val existingNote = parseStoredNote(current).getOrElse { return Err(it) }
        if (existingNote.note.id == accepted.note.id) return resolveDuplicateId(accepted.note, existingNote)
        val history = noteStore.readHistory("the notes that were accepted since cannot be read")
        val newerNotes = history.map { it.notesAfter(accepted.note.base) }.getOrElse { listOf(existingNote) }
        return Err(ClientFailure.NoteConflict(accepted.note, newerNotes))
    }

    companion object {
        val DEFAULT_RETRY_TIMEOUT: Duration = 10.seconds
        private val DEFAULT_RETRY_DELAY: Duration = 200.milliseconds
    }
}
