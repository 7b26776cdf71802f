package org.lovageladder.core.forward

/**
 * Id of an event, as its upstream wrote it: one character for each byte, so that the same bytes go out again in
 * `Last-Event-Id`. What the bytes mean is up to the upstream.
 */
@JvmInline
public value class EventId(public val text: String) {
    override fun toString(): String = text
}

/** Where another upstream can go on with a stream of which some events were passed on. */
internal sealed interface ResumePoint {
    /** No event was passed on yet. */
    data object Start : ResumePoint

    /** The last event that was passed on has this [id]. */
    data class After(val id: EventId) : ResumePoint

    /** The last event that was passed on has no id that can be sent to an upstream, so that it would come twice. */
    data object Unknown : ResumePoint
}

/**
 * Reads a `text/event-stream` byte by byte, by the grammar of the HTML standard: a line ends with LF, CR or CRLF and
 * with nothing else, an empty line ends an event, and only a line that begins with the field name `id` tells an id.
 * Bytes are never decoded as text, whose other line ends and digits would be found within data.
 */
internal class EventStreamScanner(start: ResumePoint = ResumePoint.Start) {
    private val line = ByteArray(MAXIMUM_READ_LINE_BYTES)
    private var lineLength = 0
    private var isAfterCarriageReturn = false
    private var endsLinesWithLineFeed = false
    private var isFirstLine = true
    private var hasLine = false
    private var hasData = false
    private var pointOfEvent: ResumePoint? = null

    /** Number of complete events. A comment, or another block without data, is none. */
    var eventCount: Int = 0
        private set

    /** Where the stream can be resumed after its complete events. */
    var resumePoint: ResumePoint = start
        private set

    /** Whether an event has begun and not ended. */
    val isWithinEvent: Boolean get() = hasLine || lineLength > 0

    /** Whether the stream can be cut here: no event has begun, and no LF is due behind the CR that ended the last. */
    val isBetweenEvents: Boolean get() = !isWithinEvent && !(isAfterCarriageReturn && endsLinesWithLineFeed)

    /** Reads the next [byte]. */
    fun read(byte: Byte) {
        val isSecondOfLineEnd = isAfterCarriageReturn && byte == LINE_FEED
        if (isAfterCarriageReturn) endsLinesWithLineFeed = isSecondOfLineEnd
        isAfterCarriageReturn = byte == CARRIAGE_RETURN
        when {
            isSecondOfLineEnd -> Unit
            byte == LINE_FEED || byte == CARRIAGE_RETURN -> endLine()
            else -> appendToLine(byte)
        }
    }

    /** The next bytes are those of another upstream's stream; an event that has not ended is forgotten. */
    fun startStream() {
        lineLength = 0
        isAfterCarriageReturn = false
        isFirstLine = true
        startEvent()
    }

    private fun startEvent() {
        hasLine = false
        hasData = false
        pointOfEvent = null
    }

    private fun appendToLine(byte: Byte) {
        if (lineLength < line.size) line[lineLength] = byte
        lineLength += 1
        if (isFirstLine && lineLength == BYTE_ORDER_MARK.size && lineStartsWith(BYTE_ORDER_MARK)) lineLength = 0
    }

    private fun endLine() {
        isFirstLine = false
        if (lineLength == 0) {
            endEvent()
            return
        }
        hasLine = true
        if (isField(DATA_FIELD)) hasData = true
        if (isField(ID_FIELD)) pointOfEvent = readId()
        lineLength = 0
    }

    private fun endEvent() {
        val point = pointOfEvent ?: if (hasData) ResumePoint.Unknown else null
        point?.let { resumePoint = it }
        if (hasData) eventCount += 1
        startEvent()
    }

    /** Whether the line has the field [name], with or without a value. */
    private fun isField(name: ByteArray): Boolean =
        lineStartsWith(name) && (lineLength == name.size || line[name.size] == COLON)

    private fun lineStartsWith(bytes: ByteArray): Boolean =
        lineLength >= bytes.size && bytes.indices.all { line[it] == bytes[it] }

    /** Reads the id from the line; an id that is empty, too long or no value of a header cannot be resumed after. */
    private fun readId(): ResumePoint {
        val afterColon = ID_FIELD.size + 1
        val start = if (afterColon < lineLength && line[afterColon] == SPACE) afterColon + 1 else afterColon
        if (lineLength <= start || lineLength > line.size) return ResumePoint.Unknown
        val id = String(line, start, lineLength - start, Charsets.ISO_8859_1)
        return if (id.all(::isHeaderCharacter)) ResumePoint.After(EventId(id)) else ResumePoint.Unknown
    }

    private fun isHeaderCharacter(character: Char) =
        character == TAB || character.code > LAST_CONTROL_CODE && character.code != DELETE_CODE

    private companion object {
        /** Enough for the name of a field and for any id that is no misuse of it. */
        const val MAXIMUM_READ_LINE_BYTES = 512
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'
        const val LAST_CONTROL_CODE = 0x1F
        const val DELETE_CODE = 0x7F
        val ID_FIELD = "id".encodeToByteArray()
        val DATA_FIELD = "data".encodeToByteArray()
        val BYTE_ORDER_MARK = "\uFEFF".encodeToByteArray()
    }
}
