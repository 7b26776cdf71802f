package org.lovageladder.measure

/** A line of a plot; each is drawn to its own largest value. */
private data class PlotLine(val name: String, val colour: String, val values: List<Double>)

/** Draws [spans] as SVG: reserved and used tokens on one scale, waiting requests and refusals each on their own. */
internal fun plot(spans: List<StreamSpan>): String {
    val tokens = spans.maxOfOrNull { maxOf(it.reservedTokens, it.usedTokens) }?.toDouble() ?: 0.0
    val lines =
        listOf(
            PlotLine("reserved tokens", "#1f5f9f", spans.map { it.reservedTokens / tokens.coerceAtLeast(1.0) }),
            PlotLine("used tokens", "#4fa3d1", spans.map { it.usedTokens / tokens.coerceAtLeast(1.0) }),
            PlotLine("waiting", "#d18f1f", shares(spans.map { it.waiting })),
            PlotLine("refused", "#b02a2a", shares(spans.map { it.refusedAtOnce + it.refusedLater })),
        )
    val drawn = lines.mapIndexed { index, line -> draw(line, index) }.joinToString("\n")
    val size = """width="$WIDTH" height="${HEIGHT + LEGEND}""""
    return """<svg xmlns="http://www.w3.org/2000/svg" $size font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
$drawn
<text x="4" y="14">highest: ${tokens.toLong()} tokens</text>
</svg>
"""
}

private fun shares(counts: List<Int>): List<Double> {
    val most = counts.maxOrNull()?.coerceAtLeast(1) ?: 1
    return counts.map { it.toDouble() / most }
}

private fun draw(line: PlotLine, index: Int): String {
    val step = WIDTH.toDouble() / line.values.size.coerceAtLeast(2)
    val points =
        line.values.mapIndexed { at, value -> "${(at * step).toInt()},${(HEIGHT - value * HEIGHT).toInt()}" }
    val left = index * LEGEND_STEP + LEGEND_STEP / 2
    return """<polyline fill="none" stroke="${line.colour}" stroke-width="2" points="${points.joinToString(" ")}"/>
<text x="$left" y="${HEIGHT + LEGEND - LEGEND_MARGIN}" fill="${line.colour}">${line.name}</text>"""
}

private const val WIDTH = 960
private const val HEIGHT = 320
private const val LEGEND = 24
private const val LEGEND_MARGIN = 6
private const val LEGEND_STEP = 200
