package io.masticpond.daemon.metrics;

import io.masticpond.core.support.Assert;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Limit on the number of values that a label has during the lifetime of this process, so that the
 * metrics of a fleet remain cheap.
 *
 * <p>Only allowed names count, so that a caller that requests made-up services does not use up the
 * budget. Every other name is replaced with {@link #OTHER}. A name remains allowed until the
 * process ends, even after it was removed from the configuration, because its time series also
 * remain.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class LabelBudget {

    /** The value that replaces every name that is not allowed. */
    public static final String OTHER = "other";

    private final int mMaximumValues;
    private volatile Set<String> mAllowed = Set.of();

    /**
     * Creates a budget without allowed names.
     *
     * @param maximumValues the maximum number of allowed names, positive; {@link #OTHER} is not
     *     counted
     */
    public LabelBudget(int maximumValues) {
        mMaximumValues = (int) Assert.positive(maximumValues, "A label budget");
    }

    /**
     * Allows names in alphabetical order until the budget is exhausted.
     *
     * @param names the names
     */
    public synchronized void allow(Collection<String> names) {
        Set<String> allowed = new LinkedHashSet<>(mAllowed);
        for (String name : new TreeSet<>(names)) {
            if (allowed.size() >= mMaximumValues) {
                break;
            }
            allowed.add(name);
        }
        mAllowed = Set.copyOf(allowed);
    }

    /**
     * Returns the label value for a name.
     *
     * @param name the name
     * @return the name if it is allowed, otherwise {@link #OTHER}
     */
    public String value(String name) {
        return mAllowed.contains(name) ? name : OTHER;
    }
}
