package io.masticpond.measure;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Command that lists and runs the measures. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        version = "masticpond 0.1.0",
        description = "Runs seeded measures of the real code.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:every figure meets its target",
            "1:a measure failed",
            "2:the command line is wrong",
            "3:a figure misses its target"
        })
final class MeasureCommand implements Callable<Integer> {

    static final int EXIT_MEASURE_FAILED = 1;
    static final int EXIT_TARGET_MISSED = 3;

    private static final String ALL = "all";
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<Measure> mMeasures;
    private final ReportWriter mReportWriter = new ReportWriter();

    @Spec private CommandSpec mSpecification;

    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "NAME",
            description = "The measure to run, or 'all' to run every one and write the page.")
    private String mName;

    @Option(names = "--list", description = "List and explain the measures.")
    private boolean mList;

    @Option(
            names = "--seed",
            paramLabel = "NUMBER",
            defaultValue = "1",
            description = "The seed (${DEFAULT-VALUE}).")
    private long mSeed;

    @Option(
            names = "--documentation",
            paramLabel = "DIRECTORY",
            defaultValue = "docs",
            description = "Where 'all' writes MEASUREMENTS.md and its plots (${DEFAULT-VALUE}).")
    private Path mDocumentation;

    /**
     * Creates the command.
     *
     * @param measures the measures available by name, in the order in which {@code all} runs them
     */
    MeasureCommand(List<Measure> measures) {
        mMeasures = List.copyOf(measures);
    }

    @Override
    public Integer call() {
        if (mList) {
            listMeasures();
            return CommandLine.ExitCode.OK;
        }
        if (mName == null) {
            throw new ParameterException(
                    mSpecification.commandLine(), "A measure must be named, or 'all', or --list.");
        }
        if (mName.equals(ALL)) {
            return runAll();
        }
        return runOne(findMeasure(mName));
    }

    private Measure findMeasure(String name) {
        Optional<Measure> measure =
                mMeasures.stream().filter(each -> each.name().equals(name)).findFirst();
        return measure.orElseThrow(
                () ->
                        new ParameterException(
                                mSpecification.commandLine(),
                                "No measure is named '" + name + "'; see --list."));
    }

    private void listMeasures() {
        for (Measure measure : mMeasures) {
            standardOutput().println(measure.name());
            standardOutput().println("    " + measure.explanation().replace("\n", "\n    "));
        }
        standardOutput().flush();
    }

    private int runOne(Measure measure) {
        MeasureReport report;
        try {
            report = measure.run(mSeed);
        } catch (RuntimeException e) {
            reportFailure(measure, e);
            return EXIT_MEASURE_FAILED;
        }
        print(report);
        return report.meetsTargets() ? CommandLine.ExitCode.OK : EXIT_TARGET_MISSED;
    }

    private int runAll() {
        MeasurementsPage page =
                new MeasurementsPage(mDocumentation, mSeed, mReportWriter, new PlotWriter());
        int exitCode = CommandLine.ExitCode.OK;
        int failed = 0;
        int missed = 0;
        for (Measure measure : mMeasures) {
            reportProgress("Running " + measure.name() + ".");
            long start = System.nanoTime();
            try {
                MeasureReport report = measure.run(mSeed);
                page.add(measure, report, (System.nanoTime() - start) / NANOS_PER_SECOND);
                print(report);
                missed += report.meetsTargets() ? 0 : 1;
            } catch (RuntimeException e) {
                reportFailure(measure, e);
                page.addFailure(measure, e);
                failed++;
            }
        }
        page.write();
        printTotals(failed, missed);
        if (missed > 0) {
            exitCode = EXIT_TARGET_MISSED;
        }
        return failed > 0 ? EXIT_MEASURE_FAILED : exitCode;
    }

    private void printTotals(int failed, int missed) {
        MeasureReport totals = new MeasureReport();
        totals.figure("measures", mMeasures.size());
        totals.figure("failed", failed);
        totals.figure("missedTargets", missed);
        standardOutput().println(mReportWriter.json(totals));
        standardOutput().flush();
    }

    private void print(MeasureReport report) {
        standardOutput().print(mReportWriter.tables(report));
        standardOutput().println(mReportWriter.json(report));
        standardOutput().flush();
    }

    private void reportFailure(Measure measure, RuntimeException failure) {
        PrintWriter errors = mSpecification.commandLine().getErr();
        errors.println("Measure " + measure.name() + " failed.");
        failure.printStackTrace(errors);
        errors.flush();
    }

    private void reportProgress(String message) {
        PrintWriter errors = mSpecification.commandLine().getErr();
        errors.println(message);
        errors.flush();
    }

    private PrintWriter standardOutput() {
        return mSpecification.commandLine().getOut();
    }
}
