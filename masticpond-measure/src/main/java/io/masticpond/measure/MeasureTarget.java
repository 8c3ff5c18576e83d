package io.masticpond.measure;

import java.util.Locale;

/**
 * Range that a figure of a report should be in.
 *
 * @param bound which side of the limit meets the target
 * @param limit the limit, inclusive; ignored for {@link Bound#NONE}
 * @since 0.1
 */
public record MeasureTarget(Bound bound, double limit) {

    /** Target that every value meets, for a figure that is only reported. */
    public static final MeasureTarget NONE = new MeasureTarget(Bound.NONE, 0);

    /** Side of a limit on which values meet the target. */
    public enum Bound {
        /** Every value meets the target. */
        NONE {
            @Override
            boolean isMet(double value, double limit) {
                return true;
            }

            @Override
            String text(double limit) {
                return "";
            }
        },
        /** Values less than or equal to the limit meet the target. */
        AT_MOST {
            @Override
            boolean isMet(double value, double limit) {
                return value <= limit;
            }

            @Override
            String text(double limit) {
                return "at most " + MeasureTarget.format(limit);
            }
        },
        /** Values greater than or equal to the limit meet the target. */
        AT_LEAST {
            @Override
            boolean isMet(double value, double limit) {
                return value >= limit;
            }

            @Override
            String text(double limit) {
                return "at least " + MeasureTarget.format(limit);
            }
        };

        abstract boolean isMet(double value, double limit);

        abstract String text(double limit);
    }

    /**
     * Creates a target that values less than or equal to a limit meet.
     *
     * @param limit the limit
     * @return the target
     */
    public static MeasureTarget atMost(double limit) {
        return new MeasureTarget(Bound.AT_MOST, limit);
    }

    /**
     * Creates a target that values greater than or equal to a limit meet.
     *
     * @param limit the limit
     * @return the target
     */
    public static MeasureTarget atLeast(double limit) {
        return new MeasureTarget(Bound.AT_LEAST, limit);
    }

    /**
     * Determines whether a value meets the target. {@link Double#NaN} misses every target except
     * {@link #NONE}.
     *
     * @param value the value
     * @return whether the target is met
     */
    public boolean isMetBy(double value) {
        return bound.isMet(value, limit);
    }

    /**
     * Returns a human-readable description of the target.
     *
     * @return the description, or an empty string if there is no target
     */
    public String text() {
        return bound.text(limit);
    }

    /**
     * Formats a number, without decimals if it is an integer below 1e15.
     *
     * @param value the number
     * @return the number with no or four decimals
     */
    static String format(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        return String.format(Locale.ROOT, "%.4f", value);
    }
}
