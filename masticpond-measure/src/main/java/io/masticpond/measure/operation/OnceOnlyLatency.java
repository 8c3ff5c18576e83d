package io.masticpond.measure.operation;

import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.operation.OnceOnlyKeys;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.testing.platform.PlatformCall;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Measurement of the latency of the same requests in each key mode, without faults. */
final class OnceOnlyLatency {

    private static final TimeSource TIME = new SystemTimeSource();
    private static final int REQUESTS = 2_000;
    private static final int REQUESTS_PER_SECOND = 600;
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final Duration OUTCOME_WRITE_DELAY = Duration.ofMillis(500);
    private static final ServiceId SERVICE = new ServiceId("plate-ledger");

    private final MeasuredFleet mFleet;

    OnceOnlyLatency(MeasuredFleet fleet) {
        mFleet = fleet;
    }

    /** Kinds of keys by which a request is identified. */
    enum KeyMode {
        /** No key: the request bypasses the guard, as an operation that may run repeatedly does. */
        NO_KEY("no key") {
            @Override
            void submit(
                    MeasuredFleet fleet,
                    SteeredRequest request,
                    Consumer<RequestCompletion> listener) {
                instance(fleet, request, 0).submitUnguarded(request, listener);
            }
        },
        /** Key issued by the instance to which the request is sent, as after a look-up. */
        HOMED("homed key at its home") {
            @Override
            void submit(
                    MeasuredFleet fleet,
                    SteeredRequest request,
                    Consumer<RequestCompletion> listener) {
                MeasuredInstance home = instance(fleet, request, 0);
                home.submit(request, homed(home), listener);
            }
        },
        /** Key issued by an instance other than the one to which the request is sent. */
        PASSED_ON("homed key passed on") {
            @Override
            void submit(
                    MeasuredFleet fleet,
                    SteeredRequest request,
                    Consumer<RequestCompletion> listener) {
                MeasuredInstance home = instance(fleet, request, 1);
                instance(fleet, request, 0).submit(request, homed(home), listener);
            }
        },
        /** Key chosen by the caller. */
        CLAIMED("caller's own key") {
            @Override
            void submit(
                    MeasuredFleet fleet,
                    SteeredRequest request,
                    Consumer<RequestCompletion> listener) {
                OnceOnlyKeys keys =
                        new OnceOnlyKeys(Optional.empty(), Optional.of(request.path()), "", true);
                instance(fleet, request, 0).submit(request, keys, listener);
            }
        };

        private final String mTitle;

        KeyMode(String title) {
            mTitle = title;
        }

        String title() {
            return mTitle;
        }

        abstract void submit(
                MeasuredFleet fleet, SteeredRequest request, Consumer<RequestCompletion> listener);

        private static MeasuredInstance instance(
                MeasuredFleet fleet, SteeredRequest request, int offset) {
            int index = Math.floorMod(request.path().hashCode() + offset, MeasuredFleet.INSTANCES);
            return fleet.instance(index);
        }

        private static OnceOnlyKeys homed(MeasuredInstance home) {
            return new OnceOnlyKeys(
                    Optional.of(home.issueKey().toString()), Optional.empty(), "", true);
        }
    }

    /**
     * Result of a run: the latencies in nanoseconds, the mean number of writes to the platform for
     * a request, and the number of requests that were not answered.
     */
    record Result(KeyMode keyMode, Histogram nanos, double writesPerOperation, long failed) {}

    Result run(KeyMode keyMode) throws InterruptedException {
        long writesBefore = mFleet.platform().counts().of(PlatformCall.WRITE);
        Histogram nanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        ConcurrentHistogram failed = new ConcurrentHistogram(1);
        CountDownLatch pending = new CountDownLatch(REQUESTS);
        TaskScheduler callers = new TaskScheduler(1);
        for (int i = 0; i < REQUESTS; i++) {
            String path = "/" + keyMode.name().toLowerCase(Locale.ROOT) + "/" + i;
            callers.afterMicros(
                    (long) i * MICROS_PER_SECOND / REQUESTS_PER_SECOND,
                    () -> send(keyMode, path, nanos, failed, pending));
        }
        pending.await(DEADLINE.toSeconds() * 3, TimeUnit.SECONDS);
        callers.close();
        TimeUnit.MILLISECONDS.sleep(OUTCOME_WRITE_DELAY.toMillis());
        long writes = mFleet.platform().counts().of(PlatformCall.WRITE) - writesBefore;
        return new Result(
                keyMode,
                nanos,
                (double) writes / REQUESTS,
                failed.getTotalCount() + pending.getCount());
    }

    private void send(
            KeyMode keyMode,
            String path,
            Histogram nanos,
            Histogram failed,
            CountDownLatch pending) {
        RequestHead head =
                new RequestHead(
                        new RequestId("r" + path.replace('/', '.')),
                        SERVICE,
                        TIME.monotonicNanos() + DEADLINE.toNanos(),
                        5,
                        OperationKind.ONCE_ONLY);
        byte[] body = path.getBytes(StandardCharsets.UTF_8);
        SteeredRequest request =
                new SteeredRequest(
                        head, Optional.empty(), "POST", path, List.of(), body, Optional.empty());
        long start = TIME.monotonicNanos();
        keyMode.submit(
                mFleet,
                request,
                completion -> {
                    if (completion instanceof RequestCompletion.Answered) {
                        nanos.recordValue(TIME.monotonicNanos() - start);
                    } else {
                        failed.recordValue(1);
                    }
                    pending.countDown();
                });
    }
}
