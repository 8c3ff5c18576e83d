package io.masticpond.measure;

/**
 * Strategy interface for a seeded measurement of the production code, with small fakes at its
 * external interfaces.
 *
 * <p>One run takes less than a minute. The same seed produces the same arrivals.
 *
 * @since 0.1
 * @see MeasureRegistry
 */
public interface Measure {

    /**
     * Returns the name of the measure on the command line and in file names.
     *
     * @return the name, lower-case words joined by hyphens
     */
    String name();

    /**
     * Returns a description of what is measured, how, and what the figures mean.
     *
     * @return a few human-readable sentences
     */
    String explanation();

    /**
     * Runs the measure once.
     *
     * @param seed the seed of all random numbers
     * @return the report of this run
     */
    MeasureReport run(long seed);
}
