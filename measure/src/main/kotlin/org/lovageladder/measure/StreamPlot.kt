package org.lovageladder.measure

/** A line of a plot; [values] are relative to the height of the plot. */
private data class PlotLine(val name: String, val colour: String, val values: List<Double>)

/** Draws [intervals] as SVG: reserved and used tokens on one scale, waiting requests and refusals each on their own. */
internal fun plotSvg(intervals: List<StreamInterval>): String {
    val maximumTokens = intervals.maxOfOrNull { maxOf(it.reservedTokens, it.usedTokens) }?.toDouble() ?: 0.0
    val lines =
        listOf(
            PlotLine(
                "reserved tokens",
                "#1f5f9f",
                intervals.map {
                    it.reservedTokens / maximumTokens.coerceAtLeast(1.0)
                },
            ),
            PlotLine("used tokens", "#4fa3d1", intervals.map { it.usedTokens / maximumTokens.coerceAtLeast(1.0) }),
            PlotLine("waiting", "#d18f1f", relativeToMaximum(intervals.map { it.waiting })),
            PlotLine(
                "refused",
                "#b02a2a",
                relativeToMaximum(
                    intervals.map {
                        it.refusedImmediately + it.refusedLater
                    },
                ),
            ),
        )
    val linesSvg = lines.mapIndexed { index, line -> lineSvg(line, index) }.joinToString("\n")
    val sizeAttributes = """width="$WIDTH" height="${HEIGHT + LEGEND_HEIGHT}""""
    return """<svg xmlns="http://www.w3.org/2000/svg" $sizeAttributes font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
$linesSvg
<text x="4" y="14">highest: ${maximumTokens.toLong()} tokens</text>
</svg>
"""
}

private fun relativeToMaximum(counts: List<Int>): List<Double> {
    val maximum = counts.maxOrNull()?.coerceAtLeast(1) ?: 1
    return counts.map { it.toDouble() / maximum }
}

private fun lineSvg(line: PlotLine, index: Int): String {
    val step = WIDTH.toDouble() / line.values.size.coerceAtLeast(2)
    val points =
        line.values.mapIndexed { position, value ->
            "${(position * step).toInt()},${(HEIGHT - value * HEIGHT).toInt()}"
        }
    val left = index * LEGEND_ENTRY_WIDTH + LEGEND_ENTRY_WIDTH / 2
    return """<polyline fill="none" stroke="${line.colour}" stroke-width="2" points="${points.joinToString(" ")}"/>
<text x="$left" y="${HEIGHT + LEGEND_HEIGHT - LEGEND_MARGIN}" fill="${line.colour}">${line.name}</text>"""
}

private const val WIDTH = 960
private const val HEIGHT = 320
private const val LEGEND_HEIGHT = 24
private const val LEGEND_MARGIN = 6
private const val LEGEND_ENTRY_WIDTH = 200
