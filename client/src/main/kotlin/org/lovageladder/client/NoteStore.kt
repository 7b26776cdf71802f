package org.lovageladder.client

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.KeyValueStore
import org.lovageladder.core.NOTE_PREFIX
import org.lovageladder.core.NoteFault
import org.lovageladder.core.ReleaseState
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.Step
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoreWrite
import org.lovageladder.core.StoredEntry
import org.lovageladder.core.noteStoreKey
import org.lovageladder.core.readAcceptedNote
import org.lovageladder.core.writeAcceptedNote
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads and creates accepted notes in the key-value service. Each call of the service blocks for at most [timeout]. */
internal class NoteStore(private val store: KeyValueStore, private val timeout: Duration = DEFAULT_STORE_TIMEOUT) {
    /** Reads all accepted notes in order. [consequence] begins the failure message if the service is unreachable. */
    fun readHistory(consequence: String): Result<NoteHistory, ClientFailure> {
        val notes = mutableListOf<AcceptedNote>()
        var lastKey = NOTE_PREFIX
        while (true) {
            val page = readPage(lastKey, consequence).getOrElse { return Err(it) }
            for (entry in page) notes += parseStoredNote(entry).getOrElse { return Err(it) }
            if (page.size < PAGE_SIZE) return buildHistory(notes)
            lastKey = page.last().key
        }
    }

    /** Creates [note] under its version, unless that version exists already. */
    fun create(note: AcceptedNote): StoreAnswer {
        val write = StoreWrite(noteStoreKey(note.version), writeAcceptedNote(note))
        return call(StoreRequest.Create(listOf(write)))
    }

    private fun readPage(after: String, consequence: String): Result<List<StoredEntry>, ClientFailure> =
        when (val answer = call(StoreRequest.ReadAfter(NOTE_PREFIX, after, PAGE_SIZE))) {
            is StoreAnswer.Found -> Ok(answer.entries)
            is StoreAnswer.Unavailable -> Err(ClientFailure.StoreUnreachable(answer.fault, consequence))
            is StoreAnswer.Written, is StoreAnswer.Conflict, is StoreAnswer.Leased ->
                Err(ClientFailure.StoreUnreachable(unexpectedAnswerFault(answer), consequence))
        }

    private fun call(request: StoreRequest): StoreAnswer {
        val pendingAnswer = CompletableFuture<StoreAnswer>()
        store.call(request, timeout) { pendingAnswer.complete(it) }
        return pendingAnswer.get()
    }

    companion object {
        val DEFAULT_STORE_TIMEOUT: Duration = 2.seconds
        private const val PAGE_SIZE = 64
    }
}

/**
 * All accepted notes and the release that results from them. The [ineffectiveNotes] fail the checks and change only the
 * version, here as in every process.
 */
internal data class NoteHistory(
    val notes: List<AcceptedNote>,
    val state: ReleaseState,
    val ineffectiveNotes: List<IneffectiveNote> = emptyList(),
) {
    /** Returns the notes that were accepted after [version]. */
    fun notesAfter(version: ReleaseVersion): List<AcceptedNote> = notes.filter { it.version > version }
}

/** An accepted note whose content fails the checks, for example because it was written to the store without them. */
internal data class IneffectiveNote(val version: ReleaseVersion, val faults: List<NoteFault>)

/** Fault for an answer of a type that the request cannot have. */
internal fun unexpectedAnswerFault(answer: StoreAnswer): Fault =
    Fault(Step.STORE, "key-value service", FaultCause.PROTOCOL, "unexpected answer ${answer::class.simpleName}")

/** Parses a stored note and checks that it is stored under the key of its version. */
internal fun parseStoredNote(entry: StoredEntry): Result<AcceptedNote, ClientFailure> = readAcceptedNote(entry.value)
    .mapError { ClientFailure.HistoryUnreadable(entry.key, it) }
    .andThen { checkVersion(entry.key, it) }

private fun checkVersion(key: String, accepted: AcceptedNote): Result<AcceptedNote, ClientFailure> {
    val expectedKey = noteStoreKey(accepted.version)
    if (key == expectedKey) return Ok(accepted)
    val fault = NoteFault("version", "is ${accepted.version}, which belongs under $expectedKey")
    return Err(ClientFailure.HistoryUnreadable(key, listOf(fault)))
}

/** Applies [notes] in order; fails when a version is missing. */
internal fun buildHistory(notes: List<AcceptedNote>): Result<NoteHistory, ClientFailure> {
    var state = ReleaseState.EMPTY
    val ineffectiveNotes = mutableListOf<IneffectiveNote>()
    for (accepted in notes) {
        val expectedVersion = state.version.next()
        if (accepted.version != expectedVersion) {
            val fault = NoteFault("version", "is missing, but version ${accepted.version} exists")
            return Err(ClientFailure.HistoryUnreadable(noteStoreKey(expectedVersion), listOf(fault)))
        }
        state = state.apply(accepted).getOrElse { faults ->
            ineffectiveNotes += IneffectiveNote(accepted.version, faults)
            state.copy(version = accepted.version)
        }
    }
    return Ok(NoteHistory(notes, state, ineffectiveNotes))
}
