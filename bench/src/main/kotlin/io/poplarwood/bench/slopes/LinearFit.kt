package io.poplarwood.bench.slopes

import kotlin.math.abs

/**
 * Least-squares line through measured points.
 *
 * @property residual largest distance of a point from the line, as a part of the largest measured value
 */
class LinearFit(val intercept: Double, val slope: Double, val residual: Double) {
    /** Value of the line at [x]. */
    fun at(x: Double): Double = intercept + slope * x

    companion object {
        /** Fits [y] over [x], which has at least two different values. */
        fun of(x: List<Double>, y: List<Double>): LinearFit {
            require(x.size == y.size && x.distinct().size > 1) { "a line needs two different points" }
            val meanX = x.average()
            val meanY = y.average()
            val slope = x.indices.sumOf { (x[it] - meanX) * (y[it] - meanY) } / x.sumOf { (it - meanX) * (it - meanX) }
            val intercept = meanY - slope * meanX
            val worst = x.indices.maxOf { abs(y[it] - intercept - slope * x[it]) }
            val largest = y.maxOf { abs(it) }
            return LinearFit(intercept, slope, if (largest == 0.0) 0.0 else worst / largest)
        }
    }
}
