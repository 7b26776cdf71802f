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

/** Accepted release notes in the key-value service. Calls block for at most [timeout] each. */
internal class NoteStore(private val store: KeyValueStore, private val timeout: Duration = DEFAULT_STORE_TIMEOUT) {
    /** Reads all accepted notes, in order of version. [consequence] begins the message when the service is away. */
    fun readHistory(consequence: String): Result<NoteHistory, ClientFailure> {
        val notes = mutableListOf<AcceptedNote>()
        var lastKey = NOTE_PREFIX
        while (true) {
            val page = readPage(lastKey, consequence).getOrElse { return Err(it) }
            for (entry in page) notes += readEntry(entry).getOrElse { return Err(it) }
            if (page.size < PAGE_LIMIT) return foldHistory(notes)
            lastKey = page.last().key
        }
    }

    /** Creates [note] under its version when nothing stands there. */
    fun create(note: AcceptedNote): StoreAnswer {
        val write = StoreWrite(noteStoreKey(note.version), writeAcceptedNote(note))
        return call(StoreRequest.Create(listOf(write)))
    }

    private fun readPage(after: String, consequence: String): Result<List<StoredEntry>, ClientFailure> =
        when (val answer = call(StoreRequest.ReadAfter(NOTE_PREFIX, after, PAGE_LIMIT))) {
            is StoreAnswer.Found -> Ok(answer.entries)
            is StoreAnswer.Unavailable -> Err(ClientFailure.StoreUnreachable(answer.fault, consequence))
            is StoreAnswer.Written, is StoreAnswer.Conflict, is StoreAnswer.Leased ->
                Err(ClientFailure.StoreUnreachable(unexpected(answer), consequence))
        }

    private fun call(request: StoreRequest): StoreAnswer {
        val answered = CompletableFuture<StoreAnswer>()
        store.call(request, timeout) { answered.complete(it) }
        return answered.get()
    }

    companion object {
        val DEFAULT_STORE_TIMEOUT: Duration = 2.seconds
        private const val PAGE_LIMIT = 64
    }
}

/**
 * All accepted notes and the release that they add up to. Notes [withoutEffect] do not pass the checks; they count
 * as empty here as in every process.
 */
internal data class NoteHistory(
    val notes: List<AcceptedNote>,
    val state: ReleaseState,
    val withoutEffect: List<IneffectiveNote> = emptyList(),
) {
    /** Notes that were accepted after [version]. */
    fun notesAfter(version: ReleaseVersion): List<AcceptedNote> = notes.filter { it.version > version }
}

/** A note that an author published around the checks. */
internal data class IneffectiveNote(val version: ReleaseVersion, val faults: List<NoteFault>)

/** Fault for an answer that does not belong to the request. */
internal fun unexpected(answer: StoreAnswer): Fault =
    Fault(Step.STORE, "key-value service", FaultCause.PROTOCOL, "unexpected answer ${answer::class.simpleName}")

/** Reads one stored note. */
internal fun readEntry(entry: StoredEntry): Result<AcceptedNote, ClientFailure> = readAcceptedNote(entry.value)
    .mapError { ClientFailure.HistoryUnreadable(entry.key, it) }
    .andThen { checkVersion(entry.key, it) }

private fun checkVersion(key: String, accepted: AcceptedNote): Result<AcceptedNote, ClientFailure> {
    val expectedKey = noteStoreKey(accepted.version)
    if (key == expectedKey) return Ok(accepted)
    val fault = NoteFault("version", "is ${accepted.version}, which belongs under $expectedKey")
    return Err(ClientFailure.HistoryUnreadable(key, listOf(fault)))
}

/** The release that [notes] add up to; fails when a version is missing. */
internal fun foldHistory(notes: List<AcceptedNote>): Result<NoteHistory, ClientFailure> {
    var state = ReleaseState.EMPTY
    val withoutEffect = mutableListOf<IneffectiveNote>()
    for (accepted in notes) {
        val missing = state.version.next()
        if (accepted.version != missing) {
            val fault = NoteFault("version", "is missing, and version ${accepted.version} is there")
            return Err(ClientFailure.HistoryUnreadable(noteStoreKey(missing), listOf(fault)))
        }
        state = state.apply(accepted).getOrElse { faults ->
            withoutEffect += IneffectiveNote(accepted.version, faults)
            state.copy(version = accepted.version)
        }
    }
    return Ok(NoteHistory(notes, state, withoutEffect))
}
