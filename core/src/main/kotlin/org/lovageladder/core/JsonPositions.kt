package org.lovageladder.core

/*
 * Line numbers of the values of a JSON text, which the JSON library does not record.
 */

/**
 * Line, from 1, on which each value of a JSON text begins, by its path (`added[2].pool`; the root's path is empty).
 * [duplicates] are the paths of members that occur more than once in one object, [depth] the maximum nesting.
 */
internal class JsonPositions(val duplicates: List<String>, val depth: Int, private val lines: Map<String, Int>) {
    /** Line of the value at [path], or of the innermost recorded value that encloses it; null in an empty text. */
    fun line(path: String): Int? {
        var nearest = path
        while (nearest !in lines && nearest.isNotEmpty()) nearest = parentPath(nearest)
        return lines[nearest]
    }

    private fun parentPath(path: String): String {
        val end = maxOf(path.lastIndexOf('.'), path.lastIndexOf('['))
        return if (end < 0) "" else path.substring(0, end)
    }
}

/** Path of [member] of the object at [path]. */
internal fun memberPath(path: String, member: String): String = if (path.isEmpty()) member else "$path.$member"

/** Path of element [index] of the list at [path]. */
internal fun elementPath(path: String, index: Int): String = "$path[$index]"

/** Scans [text], which may be malformed: positions before the first error are correct. */
internal fun scanJsonPositions(text: String): JsonPositions = JsonPositionScanner(text).scan()

private class JsonPositionScanner(private val text: String) {
    private val lines = mutableMapOf<String, Int>()
    private val duplicates = mutableListOf<String>()
    private val open = ArrayDeque<Container>()
    private var offset = 0
    private var line = 1
    private var depth = 0

    fun scan(): JsonPositions {
        while (offset < text.length) readToken(text[offset])
        return JsonPositions(duplicates, depth, lines)
    }

    private fun readToken(character: Char) {
        when (character) {
            '\n' -> line++
            '{', '[' -> openContainer(isList = character == '[')
            '}', ']' -> open.removeLastOrNull()
            ',' -> open.lastOrNull()?.advance()
            '"' -> readString()
            else -> if (character != ':' && !character.isWhitespace()) recordValue()
        }
        offset++
    }

    private fun openContainer(isList: Boolean) {
        val path = recordValue()
        open.addLast(Container(path, isList))
        depth = maxOf(depth, open.size)
    }

    private fun readString() {
        val start = offset + 1
        offset = start
        while (offset < text.length && text[offset] != '"' && text[offset] != '\n') {
            offset += if (text[offset] == '\\') 2 else 1
        }
        val container = open.lastOrNull()
        if (container == null || container.isList || container.member != null) {
            recordValue()
        } else {
            recordMember(container, text.substring(start, minOf(offset, text.length)))
        }
        if (text.getOrNull(offset) == '\n') line++
    }

    private fun recordMember(container: Container, member: String) {
        container.member = member
        val path = container.childPath()
        if (path in lines) duplicates += path else lines[path] = line
    }

    private fun recordValue(): String {
        val path = open.lastOrNull()?.childPath() ?: ""
        lines.putIfAbsent(path, line)
        return path
    }
}

/** An object or list that is not closed yet at the scanner's position. */
private class Container(val path: String, val isList: Boolean) {
    var member: String? = null
    private var index = 0

    fun childPath(): String = if (isList) elementPath(path, index) else memberPath(path, member.orEmpty())

    fun advance() {
        index++
        member = null
    }
}
