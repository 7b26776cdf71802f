package org.lovageladder.standin

import java.util.NavigableMap

/**
 * Key range of an etcd request: only [key] when [end] is empty, all keys from [key] on when [end] is `\0`, otherwise
 * the keys from [key] to below [end].
 */
internal data class KeyRange(val key: String, val end: String) {
    fun contains(candidate: String): Boolean = when {
        end.isEmpty() -> candidate == key
        end == UNBOUNDED_END -> candidate >= key
        else -> candidate >= key && candidate < end
    }

    /** The entries of [keys] that lie in this range. */
    fun <Value> select(keys: NavigableMap<String, Value>): Map<String, Value> = when {
        end.isEmpty() -> keys.subMap(key, true, key, true)
        end == UNBOUNDED_END -> keys.tailMap(key, true)
        key < end -> keys.subMap(key, true, end, false)
        else -> emptyMap()
    }

    companion object {
        const val UNBOUNDED_END: String = "\u0000"
    }
}
