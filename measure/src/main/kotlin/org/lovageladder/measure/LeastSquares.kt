package org.lovageladder.measure

import kotlinx.serialization.Serializable

/** A measured [value] at a [size]. */
internal data class Sample(val size: Double, val value: Double)

/** The straight line `intercept + slope * size`. */
@Serializable
internal data class Line(val intercept: Double, val slope: Double)

/** Fits a line to [samples], which need at least two different sizes, by least squares. */
internal fun fitLine(samples: List<Sample>): Line {
    val meanSize = samples.map { it.size }.average()
    val meanValue = samples.map { it.value }.average()
    val covariance = samples.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val variance = samples.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    require(variance > 0) { "a line needs samples of at least two sizes" }
    val slope = covariance / variance
    return Line(meanValue - slope * meanSize, slope)
}
