package org.lovageladder.standin

import java.util.NavigableMap

/** The keys that a request means: one key, all keys from [key] to below [end], or all from [key] when [end] is `\0`. */
internal data class KeyRange(val key: String, val end: String) {
    fun contains(candidate: String): Boolean = when {
        end.isEmpty() -> candidate == key
        end == OPEN_END -> candidate >= key
        else -> candidate >= key && candidate < end
    }

    /** The part of [keys] that lies in this range. */
    fun <Value> of(keys: NavigableMap<String, Value>): Map<String, Value> = when {
        end.isEmpty() -> keys.subMap(key, true, key, true)
        end == OPEN_END -> keys.tailMap(key, true)
        key < end -> keys.subMap(key, true, end, false)
        else -> emptyMap()
    }

    companion object {
        const val OPEN_END: String = "\u0000"
    }
}
