package org.lovageladder.measure

/** Returns [rows] under [header] as text, with columns aligned to the right. */
internal fun table(header: List<String>, rows: List<List<String>>): String {
    val all = listOf(header) + rows
    val widths = header.indices.map { column -> all.maxOf { it[column].length } }
    return all.joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padStart(widths[column]) }.joinToString("  ")
    }
}

/** [value] with [digits] digits after the point. */
internal fun decimal(value: Double, digits: Int = 2): String = "%.${digits}f".format(java.util.Locale.ROOT, value)
