package org.lovageladder.measure

/** Formats [rows] under [header] as text with right-aligned columns. */
internal fun formatTable(header: List<String>, rows: List<List<String>>): String {
    val allRows = listOf(header) + rows
    val widths = header.indices.map { column -> allRows.maxOf { it[column].length } }
    return allRows.joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padStart(widths[column]) }.joinToString("  ")
    }
}

/** Formats [value] with [digits] decimal places. */
internal fun formatDecimal(value: Double, digits: Int = 2): String = "%.${digits}f".format(java.util.Locale.ROOT, value)
