package org.lovageladder.client

import org.lovageladder.core.EntryKey

/** Entries that one part of a release note names, printed as `adds pool a, host b`. */
internal data class ChangedNames(val verb: String, val keys: List<EntryKey>) {
    override fun toString(): String = "$verb " + keys.joinToString { "${it.kind.name.lowercase()} ${it.name}" }
}
