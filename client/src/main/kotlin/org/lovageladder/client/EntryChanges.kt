package org.lovageladder.client

import org.lovageladder.core.EntryKey

/** Entries that a release note adds, changes or withdraws, printed as `adds pool a, host b`. */
internal data class EntryChanges(val verb: String, val keys: List<EntryKey>) {
    override fun toString(): String = "$verb " + keys.joinToString { "${it.kind.name.lowercase()} ${it.name}" }
}
