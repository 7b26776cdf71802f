package org.lovageladder.client

import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.Fault
import org.lovageladder.core.NoteFault
import org.lovageladder.core.ReleaseNote
import org.lovageladder.core.ReleaseVersion

/** Why a command did not do what was asked, with the text that the operator reads. */
internal sealed interface ClientFailure {
    val exitCode: ExitCode
    val message: String

    /** An argument names something that does not exist. */
    data class BadArgument(override val message: String) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.BAD_INPUT
    }

    /** The note in [file] cannot be accepted. */
    data class NoteRejected(val file: String, val faults: List<NoteFault>) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.BAD_INPUT
        override val message: String get() = faults.joinToString("\n") { describeFault(file, it) }
    }

    /** Notes that the author had not seen were accepted after the note's base. */
    data class NoteConflict(val note: ReleaseNote, val since: List<AcceptedNote>) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.CONFLICT
        override val message: String get() = describeConflict(note, since)
    }

    /** The note's identifier belongs to another note. */
    data class NoteIdTaken(val accepted: AcceptedNote) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.CONFLICT
        override val message: String
            get() = "not accepted: id '${accepted.note.id}' belongs to version ${accepted.version}, whose content " +
                "is different; give this note an id of its own"
    }

    /** The note was sent, and no answer tells whether it was accepted as [version]. */
    data class PublicationUnknown(val note: ReleaseNote, val version: ReleaseVersion, val fault: Fault) :
        ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.OUTCOME_UNKNOWN
        override val message: String
            get() = "unknown whether note '${note.id}' was accepted as version $version: $fault\n" +
                "publish the same file again once the key-value service answers: an accepted note is recognised " +
                "by its id and not accepted twice; 'note history' shows it too"
    }

    /** The key-value service did not answer; [consequence] says what that means for the command. */
    data class StoreUnreachable(val fault: Fault, val consequence: String) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.UNREACHABLE
        override val message: String get() = "$consequence: $fault"
    }

    /** A process did not answer. */
    data class ProcessUnreachable(val fault: Fault, val consequence: String) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.UNREACHABLE
        override val message: String get() = "$consequence: $fault"
    }

    /** What the key-value service holds under [key] is no note that can follow those before it. */
    data class HistoryUnreadable(val key: String, val faults: List<NoteFault>) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.FAILED
        override val message: String
            get() = "the release notes in the key-value service cannot be read:\n" +
                faults.joinToString("\n") { describeFault(key, it) }
    }

    /** The processes that answered know nothing of what was asked for. */
    data class NothingFound(override val message: String) : ClientFailure {
        override val exitCode: ExitCode get() = ExitCode.FAILED
    }
}

private fun describeFault(source: String, fault: NoteFault): String {
    val line = fault.line?.let { ":$it" }.orEmpty()
    val field = if (fault.field.isEmpty()) "the note" else fault.field
    return "$source$line: $field ${fault.message}"
}

private fun describeConflict(note: ReleaseNote, since: List<AcceptedNote>): String {
    val newest = since.last().version
    val changes = since.joinToString("\n") { accepted -> "  ${summarize(accepted)}" }
    return "not accepted: note '${note.id}' has base ${note.base}, and version $newest is in force; since then:\n" +
        "$changes\nlook at these, set \"base\" to $newest and publish again"
}

/** One line that names all that a note touches. */
internal fun summarize(accepted: AcceptedNote): String {
    val note = accepted.note
    val author = if (note.author.isEmpty()) "" else " by ${note.author}"
    val parts = listOf(
        ChangedNames("adds", note.added.map { it.key }),
        ChangedNames("changes", note.changed.map { it.key }),
        ChangedNames("withdraws", note.withdrawn),
    )
    val changes = parts.filter { it.keys.isNotEmpty() }.joinToString("; ").ifEmpty { "changes nothing" }
    return "version ${accepted.version} '${note.id}'$author: $changes"
}
