package io.masticpond.measure.control;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Line fitted to points by least squares.
 *
 * @param intercept the fitted value at zero
 * @param slope the increase per unit
 * @param slopeError the standard error of the slope
 */
record LineFit(double intercept, double slope, double slopeError) {

    /**
     * Fits a line to points.
     *
     * @param points the points, at least three
     * @param horizontal returns the horizontal coordinate of a point
     * @param vertical returns the vertical coordinate of a point
     */
    static <T> LineFit of(
            List<T> points, ToDoubleFunction<T> horizontal, ToDoubleFunction<T> vertical) {
        double meanX = points.stream().mapToDouble(horizontal).average().orElseThrow();
        double meanY = points.stream().mapToDouble(vertical).average().orElseThrow();
        double squares = 0;
        double products = 0;
        for (T point : points) {
            double x = horizontal.applyAsDouble(point) - meanX;
            squares += x * x;
            products += x * (vertical.applyAsDouble(point) - meanY);
        }
        double slope = products / squares;
        double intercept = meanY - slope * meanX;
        double residuals = 0;
        for (T point : points) {
            double fitted = intercept + slope * horizontal.applyAsDouble(point);
            residuals += Math.pow(vertical.applyAsDouble(point) - fitted, 2);
        }
        double error = Math.sqrt(residuals / (points.size() - 2) / squares);
        return new LineFit(intercept, slope, error);
    }
}
