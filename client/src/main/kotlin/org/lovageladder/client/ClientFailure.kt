package org.lovageladder.client

import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.Fault
import org.lovageladder.core.NoteFault
import org.lovageladder.core.ReleaseNote
import org.lovageladder.core.ReleaseVersion

/** Why a command failed, with the message for the operator and the exit code. */
internal sealed interface ClientFailure {
    val exitCode: ExitCode
    val message: String

    /** An argument names something that does not exist. */
    data class BadArgument(override val message: String) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.BAD_INPUT
    }

    /** The note in [file] is malformed, or its content fails the checks. */
    data class NoteRejected(val file: String, val faults: List<NoteFault>) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.BAD_INPUT
        override val message: String get() = faults.joinToString("\n") { describeFault(file, it) }
    }

    /** [newerNotes] were accepted after the base of [note], so its author had not seen them. */
    data class NoteConflict(val note: ReleaseNote, val newerNotes: List<AcceptedNote>) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.CONFLICT
        override val message: String get() = describeConflict(note, newerNotes)
    }

    /** An accepted note with other content has the same identifier. */
    data class NoteIdTaken(val accepted: AcceptedNote) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.CONFLICT
        override val message: String
            get() = "not accepted: id '${accepted.note.id}' belongs to version ${accepted.version}, whose content " +
                "is different; give this note another id"
    }

    /** The note may have been sent, and no answer says whether it was accepted as [version]. */
    data class PublicationUnknown(val note: ReleaseNote, val version: ReleaseVersion, val fault: Fault) :
        ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.OUTCOME_UNKNOWN
        override val message: String
            get() = "unknown whether note '${note.id}' was accepted as version $version: $fault\n" +
                "publish the same file again once the key-value service answers: an accepted note is recognised " +
                "by its id and not accepted twice; 'note history' also shows whether it was accepted"
    }

    /** The key-value service did not answer; [consequence] says what this means for the command. */
    data class StoreUnreachable(val fault: Fault, val consequence: String) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.UNREACHABLE
        override val message: String get() = "$consequence: $fault"
    }

    /** A process did not answer; [consequence] says what this means for the command. */
    data class ProcessUnreachable(val fault: Fault, val consequence: String) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.UNREACHABLE
        override val message: String get() = "$consequence: $fault"
    }

    /** The value under [key] in the key-value service is not a note of that version, or it is missing. */
    data class HistoryUnreadable(val key: String, val faults: List<NoteFault>) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.FAILED
        override val message: String
            get() = "the release notes in the key-value service cannot be read:\n" +
                faults.joinToString("\n") { describeFault(key, it) }
    }

    /** Nothing exists that the command could show. */
    data class NothingFound(override val message: String) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.FAILED
    }
}

private fun describeFault(source: String, fault: NoteFault): String {
    val line = fault.line?.let { ":$it" }.orEmpty()
    val field = if (fault.field.isEmpty()) "the note" else fault.field
    return "$source$line: $field ${fault.message}"
}

private fun describeConflict(note: ReleaseNote, newerNotes: List<AcceptedNote>): String {
    val newest = newerNotes.last().version
    val changes = newerNotes.joinToString("\n") { accepted -> "  ${describeChanges(accepted)}" }
    return "not accepted: note '${note.id}' has base ${note.base}, and version $newest is in force; since then:\n" +
        "$changes\nreview these changes, set \"base\" to $newest and publish again"
}

/** Describes in one line the entries that a note adds, changes and withdraws. */
internal fun describeChanges(accepted: AcceptedNote): String {
    val note = accepted.note
    val author = if (note.author.isEmpty()) "" else " by ${note.author}"
    val parts = listOf(
        EntryChanges("adds", note.added.map { it.key }),
        EntryChanges("changes", note.changed.map { it.key }),
        EntryChanges("withdraws", note.withdrawn),
    )
    val changes = parts.filter { it.keys.isNotEmpty() }.joinToString("; ").ifEmpty { "changes nothing" }
    return "version ${accepted.version} '${note.id}'$author: $changes"
}
