package io.masticpond.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Markdown page with the reports of all measures, and a file for each plot. */
final class MeasurementsPage {

    private final Path mDirectory;
    private final long mSeed;
    private final ReportWriter mReportWriter;
    private final PlotWriter mPlotWriter;
    private final StringBuilder mText = new StringBuilder();

    /**
     * Creates a page without reports.
     *
     * @param directory the directory that the page and its plots are written to
     * @param seed the seed of the runs
     * @param reportWriter the writer of the tables
     * @param plotWriter the writer of the plots
     */
    MeasurementsPage(Path directory, long seed, ReportWriter reportWriter, PlotWriter plotWriter) {
        mDirectory = directory;
        mSeed = seed;
        mReportWriter = reportWriter;
        mPlotWriter = plotWriter;
        mText.append("# Measurements\n\n");
        mText.append("Written by `./measure all --seed ")
                .append(seed)
                .append("` on a machine with ");
        mText.append(Runtime.getRuntime().availableProcessors()).append(" processors, Java ");
        mText.append(Runtime.version().feature()).append(".\n\n");
    }

    /**
     * Adds the report of one measure and writes its plots.
     *
     * @param measure the measure
     * @param report its report
     * @param seconds the duration of the run, in seconds
     */
    void add(Measure measure, MeasureReport report, double seconds) {
        appendHeading(measure);
        mText.append(String.format("Command: `./measure %s --seed %d`", measure.name(), mSeed));
        mText.append(String.format(" (%.1f s).%n%n", seconds));
        mText.append(mReportWriter.tables(report));
        int number = 0;
        for (MeasurePlot plot : report.plots()) {
            number++;
            String name = measure.name() + (number == 1 ? "" : "-" + number) + ".svg";
            writePlot(plot, name);
            mText.append(String.format("![%s](measurements/%s)%n%n", plot.title(), name));
        }
    }

    /**
     * Adds a measure that failed.
     *
     * @param measure the measure
     * @param failure the exception that the run threw
     */
    void addFailure(Measure measure, RuntimeException failure) {
        appendHeading(measure);
        mText.append("**Failed**: ").append(failure).append("\n\n");
    }

    /**
     * Writes the page to {@code MEASUREMENTS.md} in its directory.
     *
     * @throws UncheckedIOException if the file can't be written
     */
    void write() {
        Path file = mDirectory.resolve("MEASUREMENTS.md");
        try {
            Files.createDirectories(mDirectory);
            Files.writeString(file, mText.toString().stripTrailing() + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException("The page could not be written to " + file + ".", e);
        }
    }

    private void appendHeading(Measure measure) {
        mText.append("## ").append(measure.name()).append("\n\n");
        mText.append(measure.explanation()).append("\n\n");
    }

    private void writePlot(MeasurePlot plot, String name) {
        Path directory = mDirectory.resolve("measurements");
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new UncheckedIOException("No directory could be made at " + directory + ".", e);
        }
        mPlotWriter.write(plot, directory.resolve(name));
    }
}
