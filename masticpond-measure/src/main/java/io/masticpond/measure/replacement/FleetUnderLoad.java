package io.masticpond.measure.replacement;

import io.masticpond.measure.fleet.CallerLoad;
import io.masticpond.measure.fleet.CompletedRequest;
import io.masticpond.measure.fleet.FleetInstance;
import io.masticpond.measure.fleet.FleetSettings;
import io.masticpond.measure.fleet.LoadStatistics;
import io.masticpond.measure.fleet.LocalFleet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Configured fleet of real processes under load from callers that follow look-ups until this object
 * is closed.
 */
final class FleetUnderLoad implements AutoCloseable {

    private static final int WORKERS = 4;
    private static final double SERVICE_MILLIS = 15;

    private final LocalFleet mFleet;
    private final LoadStatistics mStatistics = new LoadStatistics();
    private final AtomicBoolean mRunning = new AtomicBoolean(true);
    private final Queue<CompletedRequest> mEnded = new ConcurrentLinkedQueue<>();
    private final Thread mCallers;

    /** Starts the fleet and the callers, and waits until every instance is ready. */
    FleetUnderLoad(int instancesPerZone, long seed) throws IOException {
        mFleet =
                new LocalFleet(
                        new FleetSettings(
                                Path.of("dist"),
                                Path.of("examples/atlas.json"),
                                Files.createTempDirectory("masticpond-measure"),
                                instancesPerZone,
                                SERVICE_MILLIS));
        mCallers =
                new Thread(
                        () ->
                                new CallerLoad(mFleet.instances(), mStatistics, seed, mEnded::add)
                                        .run(WORKERS, mRunning::get),
                        "callers");
        boolean started = false;
        try {
            start();
            started = true;
        } finally {
            if (!started) {
                mFleet.close();
            }
        }
    }

    private void start() throws IOException {
        mFleet.startStandIns();
        for (FleetInstance instance : mFleet.instances()) {
            mFleet.startInstance(instance);
        }
        for (FleetInstance instance : mFleet.instances()) {
            mFleet.awaitInstance(instance, "/health");
        }
        mFleet.configure();
        for (FleetInstance instance : mFleet.instances()) {
            mFleet.awaitInstance(instance, "/ready");
        }
        mCallers.start();
    }

    LocalFleet fleet() {
        return mFleet;
    }

    LoadStatistics statistics() {
        return mStatistics;
    }

    /** Returns the requests that have ended so far, in order of their ends for each caller. */
    List<CompletedRequest> ended() {
        return List.copyOf(mEnded);
    }

    /** Stops the callers after their current requests. */
    void stopCallers() {
        mRunning.set(false);
        try {
            mCallers.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Restarts an instance and waits until it is ready. */
    void restart(FleetInstance instance) {
        try {
            mFleet.startInstance(instance);
        } catch (IOException e) {
            throw new UncheckedIOException("The instance " + instance.id() + " did not start.", e);
        }
        mFleet.awaitInstance(instance, "/ready");
    }

    @Override
    public void close() {
        stopCallers();
        mFleet.close();
    }
}
