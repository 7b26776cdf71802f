package org.lovageladder.client

/** A table printed in aligned columns. Each row has as many cells as there are [headings]. */
internal data class Table(val headings: List<String>, val rows: List<List<String>>) {
    fun render(): String {
        val lines = listOf(headings) + rows
        val widths = headings.indices.map { column -> lines.maxOf { it[column].length } }
        return lines.joinToString("\n") { cells -> renderLine(cells, widths) }
    }

    private fun renderLine(cells: List<String>, widths: List<Int>): String =
        cells.zip(widths) { cell, width -> cell.padEnd(width) }.joinToString("  ").trimEnd()
}

/** Text of a cell without a value. */
internal const val ABSENT_CELL: String = "-"
