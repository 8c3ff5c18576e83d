package io.masticpond.measure.hostile;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * {@link Measure} that feeds at least 100,000 generated inputs in total to all interfaces through
 * which data enters the process.
 *
 * @since 0.1
 */
public final class HostileInputMeasure implements Measure {

    private static final int MINIMUM_INPUTS = 100_000;
    private static final long HANG_SECONDS = 5;
    private static final double MEGABYTE = 1 << 20;
    private static final double HEAP_LIMIT_MEGABYTES = 64;
    private static final int MAXIMUM_TEXT_LENGTH = 60;

    @Override
    public String name() {
        return "hostile-input";
    }

    @Override
    public String explanation() {
        return "Valid settings, configuration documents, operators' and callers' requests, messages"
                + " and frames of instances, answers of the platform, operation keys and client"
                + " blocks are mutated (bytes flipped, cut, repeated, odd tokens put in) and fed"
                + " to the real code. An exception, an internal error, an error in the log or a"
                + " server that no longer serves its samples is a crash; an input without an end"
                + " within 5 s is a hang. The heap is compared before and after, each time after"
                + " a collection.";
    }

    @Override
    public MeasureReport run(long seed) {
        ErrorLog log = new ErrorLog();
        long heapBefore = usedHeap();
        List<Outcome> outcomes = new ArrayList<>();
        long inputSeed = seed;
        for (HostileTargets.Factory factory : HostileTargets.all()) {
            inputSeed++;
            outcomes.add(feedAll(factory, new HostileInputs(inputSeed), log));
        }
        double heapGrowth = (usedHeap() - heapBefore) / MEGABYTE;
        log.close();
        return report(outcomes, heapGrowth);
    }

    private static Outcome feedAll(
            HostileTargets.Factory factory, HostileInputs inputs, ErrorLog log) {
        ExecutorService executor =
                Executors.newSingleThreadExecutor(HostileInputMeasure::daemonThread);
        try (HostileTarget target = factory.create()) {
            Outcome outcome = new Outcome(target.name());
            long errorsBefore = log.count();
            long start = System.nanoTime();
            for (int i = 0; i < target.inputs() && outcome.mHangs == 0; i++) {
                byte[] input = inputs.next(target.samples());
                outcome.feed(executor, target, input);
            }
            for (byte[] sample : target.samples()) {
                outcome.feed(executor, target, sample);
            }
            outcome.mSeconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
            outcome.addLogged(log.count() - errorsBefore, log.first());
            return outcome;
        } catch (Exception e) {
            throw new IllegalStateException("Failed to close a target.", e);
        } finally {
            executor.shutdownNow();
        }
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "hostile-input");
        thread.setDaemon(true);
        return thread;
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static MeasureReport report(List<Outcome> outcomes, double heapGrowth) {
        long inputs = outcomes.stream().mapToLong(outcome -> outcome.mInputs).sum();
        long crashes = outcomes.stream().mapToLong(outcome -> outcome.mCrashes).sum();
        long hangs = outcomes.stream().mapToLong(outcome -> outcome.mHangs).sum();
        return new MeasureReport()
                .table(
                        new MeasureTable(
                                "Inputs by place",
                                List.of("Place", "Inputs", "Crashes", "Hangs", "Seconds", "First"),
                                outcomes.stream().map(Outcome::row).toList()))
                .figure("inputs", inputs, MeasureTarget.atLeast(MINIMUM_INPUTS))
                .figure("places", outcomes.size())
                .figure("crashes", crashes, MeasureTarget.atMost(0))
                .figure("hangs", hangs, MeasureTarget.atMost(0))
                .figure(
                        "heapGrowthMegabytes",
                        heapGrowth,
                        MeasureTarget.atMost(HEAP_LIMIT_MEGABYTES));
    }

    /** Mutable result of one target: its inputs, crashes, hangs and run time. */
    private static final class Outcome {

        private final String mName;
        private long mInputs;
        private long mCrashes;
        private long mHangs;
        private double mSeconds;
        private String mFirst = "";

        Outcome(String name) {
            mName = name;
        }

        void feed(ExecutorService executor, HostileTarget target, byte[] input) {
            mInputs++;
            Future<Void> completion =
                    executor.submit(
                            () -> {
                                target.feed(input);
                                return null;
                            });
            try {
                completion.get(HANG_SECONDS, TimeUnit.SECONDS);
            } catch (TimeoutException e) {
                mHangs++;
                recordFirst("no end");
            } catch (ExecutionException e) {
                if (e.getCause() instanceof SocketTimeoutException) {
                    mHangs++;
                } else {
                    mCrashes++;
                }
                recordFirst(String.valueOf(e.getCause()));
            } catch (InterruptedException e) {
                throw new IllegalStateException("The measure was interrupted.", e);
            }
        }

        void addLogged(long errors, String first) {
            mCrashes += errors;
            if (errors > 0) {
                recordFirst(first);
            }
        }

        private void recordFirst(String text) {
            if (mFirst.isEmpty()) {
                mFirst = text.substring(0, Math.min(MAXIMUM_TEXT_LENGTH, text.length()));
            }
        }

        List<String> row() {
            return List.of(
                    mName,
                    Long.toString(mInputs),
                    Long.toString(mCrashes),
                    Long.toString(mHangs),
                    String.format(Locale.ROOT, "%.1f", mSeconds),
                    mFirst);
        }
    }
}
