package io.masticpond.measure;

import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Immutable plot of a report, with one line per series.
 *
 * @param title what the plot shows
 * @param horizontalTitle the title of the horizontal axis, with its unit
 * @param verticalTitle the title of the vertical axis, with its unit
 * @param scale the scale of each axis, linear or logarithmic
 * @param series the lines, at least one; copied
 * @since 0.1
 */
public record MeasurePlot(
        String title,
        String horizontalTitle,
        String verticalTitle,
        Scale scale,
        List<Series> series) {

    /** Scale of the axes of a plot. */
    public enum Scale {
        /** Both axes are linear. */
        LINEAR(false, false),
        /** The vertical axis is logarithmic. */
        LOGARITHMIC(false, true),
        /** Both axes are logarithmic. */
        DOUBLE_LOGARITHMIC(true, true);

        private final boolean mHorizontalLogarithmic;
        private final boolean mVerticalLogarithmic;

        Scale(boolean horizontalLogarithmic, boolean verticalLogarithmic) {
            mHorizontalLogarithmic = horizontalLogarithmic;
            mVerticalLogarithmic = verticalLogarithmic;
        }

        /**
         * Determines whether the horizontal axis is logarithmic.
         *
         * @return {@code true} if it is logarithmic, {@code false} if it is linear
         */
        public boolean isHorizontalLogarithmic() {
            return mHorizontalLogarithmic;
        }

        /**
         * Determines whether the vertical axis is logarithmic.
         *
         * @return {@code true} if it is logarithmic, {@code false} if it is linear
         */
        public boolean isVerticalLogarithmic() {
            return mVerticalLogarithmic;
        }
    }

    /**
     * Immutable line of a plot.
     *
     * @param name the name in the legend
     * @param horizontal the horizontal coordinates
     * @param vertical the vertical coordinates, as many as the horizontal ones
     */
    public record Series(String name, List<Double> horizontal, List<Double> vertical) {

        /** Checks that both lists have the same size, and copies them. */
        public Series {
            Assert.hasText(name, "The name of a series");
            horizontal = List.copyOf(Assert.notEmpty(horizontal, "The points of a series"));
            vertical = List.copyOf(vertical);
            Assert.isTrue(
                    horizontal.size() == vertical.size(),
                    "Series '%s' must have as many vertical as horizontal coordinates.",
                    name);
        }
    }

    /** Checks the components and copies the list. */
    public MeasurePlot {
        Assert.hasText(title, "The title of a plot");
        Assert.notNull(scale, "The scale of a plot");
        series = List.copyOf(Assert.notEmpty(series, "The series of a plot"));
    }
}
