package org.lovageladder.client

/** Text in aligned columns, as commands print it. Each row has as many cells as there are [headings]. */
internal data class Table(val headings: List<String>, val rows: List<List<String>>) {
    fun render(): String {
        val lines = listOf(headings) + rows
        val widths = headings.indices.map { column -> lines.maxOf { it[column].length } }
        return lines.joinToString("\n") { cells -> renderLine(cells, widths) }
    }

    private fun renderLine(cells: List<String>, widths: List<Int>): String =
        cells.zip(widths) { cell, width -> cell.padEnd(width) }.joinToString("  ").trimEnd()
}

/** Stands in a cell for a value that is absent. */
internal const val ABSENT: String = "-"
