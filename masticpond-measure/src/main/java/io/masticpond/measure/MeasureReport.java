package io.masticpond.measure;

import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Report of one run of a measure: tables, plots and named figures.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class MeasureReport {

    /**
     * Number with the target range that it should be in.
     *
     * @param value the number
     * @param target the target range
     */
    public record Figure(double value, MeasureTarget target) {}

    private final List<MeasureTable> mTables = new ArrayList<>();
    private final List<MeasurePlot> mPlots = new ArrayList<>();
    private final Map<String, Figure> mFigures = new LinkedHashMap<>();

    /**
     * Adds a table.
     *
     * @param table the table
     * @return this report
     */
    public MeasureReport table(MeasureTable table) {
        mTables.add(Assert.notNull(table, "A table"));
        return this;
    }

    /**
     * Adds a plot.
     *
     * @param plot the plot
     * @return this report
     */
    public MeasureReport plot(MeasurePlot plot) {
        mPlots.add(Assert.notNull(plot, "A plot"));
        return this;
    }

    /**
     * Adds a figure that has no target.
     *
     * @param name the name in lower camel case
     * @param value the value
     * @return this report
     */
    public MeasureReport figure(String name, double value) {
        return figure(name, value, MeasureTarget.NONE);
    }

    /**
     * Adds a count that has no target.
     *
     * @param name the name in lower camel case
     * @param count the count
     * @return this report
     */
    public MeasureReport figure(String name, long count) {
        return figure(name, (double) count);
    }

    /**
     * Adds a count with its target.
     *
     * @param name the name in lower camel case
     * @param count the count
     * @param target the range that the count should be in
     * @return this report
     */
    public MeasureReport figure(String name, long count, MeasureTarget target) {
        return figure(name, (double) count, target);
    }

    /**
     * Adds a figure with its target.
     *
     * @param name the name in lower camel case
     * @param value the value
     * @param target the range that the value should be in
     * @return this report
     * @throws IllegalArgumentException if a figure of this name was added before
     */
    public MeasureReport figure(String name, double value, MeasureTarget target) {
        Figure previous = mFigures.put(Assert.hasText(name, "A name"), new Figure(value, target));
        Assert.isTrue(
                previous == null,
                "A figure must be added only once, but '%s' was added again.",
                name);
        return this;
    }

    /**
     * Returns the tables in the order in which they were added.
     *
     * @return the tables
     */
    public List<MeasureTable> tables() {
        return List.copyOf(mTables);
    }

    /**
     * Returns the plots in the order in which they were added.
     *
     * @return the plots
     */
    public List<MeasurePlot> plots() {
        return List.copyOf(mPlots);
    }

    /**
     * Returns the figures in the order in which they were added.
     *
     * @return the figures by name
     */
    public Map<String, Figure> figures() {
        return new LinkedHashMap<>(mFigures);
    }

    /**
     * Determines whether every figure meets its target.
     *
     * @return {@code true} if no figure misses its target
     */
    public boolean meetsTargets() {
        return mFigures.values().stream().allMatch(each -> each.target().isMetBy(each.value()));
    }
}
