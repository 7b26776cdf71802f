package org.lovageladder.standin

/** The keys that a request means: one key, all keys from [key] to below [end], or all from [key] when [end] is `\0`. */
internal data class KeyRange(val key: String, val end: String) {
    fun contains(candidate: String): Boolean = when {
        end.isEmpty() -> candidate == key
        end == OPEN_END -> candidate >= key
        else -> candidate >= key && candidate < end
    }

    companion object {
        const val OPEN_END: String = "\u0000"
    }
}
