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

/** Compares the latency of the same requests under each kind of key, without faults. */
final class OnceOnlyLatency {

    private static final TimeSource TIME = new SystemTimeSource();
    private static final int REQUESTS = 2_000;
    private static final int RATE = 600;
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final int DIGITS = 3;
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final Duration OUTCOMES_WRITTEN = Duration.ofMillis(500);
    private static final ServiceId SERVICE = new ServiceId("plate-ledger");

    private final MeasuredFleet mFleet;

    OnceOnlyLatency(MeasuredFleet fleet) {
        mFleet = fleet;
    }

    /** How a request is named. */
    enum Naming {
        /** Past the guard, as an operation that may repeat. */
        NO_KEY("no key") {
            @Override
            void submit(
                    MeasuredFleet fleet, SteeredRequest request, Consumer<RequestCompletion> end) {
                instance(fleet, request, 0).submitUnguarded(request, end);
            }
        },
        /** With a key of the instance that it is sent to, as after a look-up. */
        HOMED("homed key at its home") {
            @Override
            void submit(
                    MeasuredFleet fleet, SteeredRequest request, Consumer<RequestCompletion> end) {
                MeasuredInstance home = instance(fleet, request, 0);
                home.submit(request, homed(home), end);
            }
        },
        /** With a key of another instance. */
        PASSED_ON("homed key passed on") {
            @Override
            void submit(
                    MeasuredFleet fleet, SteeredRequest request, Consumer<RequestCompletion> end) {
                MeasuredInstance home = instance(fleet, request, 1);
                instance(fleet, request, 0).submit(request, homed(home), end);
            }
        },
        /** With a key that the caller made. */
        CLAIMED("caller's own key") {
            @Override
            void submit(
                    MeasuredFleet fleet, SteeredRequest request, Consumer<RequestCompletion> end) {
                OnceOnlyKeys keys =
                        new OnceOnlyKeys(Optional.empty(), Optional.of(request.path()), "", true);
                instance(fleet, request, 0).submit(request, keys, end);
            }
        };

        private final String mText;

        Naming(String text) {
            mText = text;
        }

        String text() {
            return mText;
        }

        abstract void submit(
                MeasuredFleet fleet, SteeredRequest request, Consumer<RequestCompletion> end);

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

    /** The latencies in nanoseconds, and the writes to the platform for each request. */
    record Result(Naming naming, Histogram nanos, double writesPerOperation, long failed) {}

    Result run(Naming naming) throws InterruptedException {
        long writesBefore = mFleet.platform().counts().of(PlatformCall.WRITE);
        Histogram nanos = new ConcurrentHistogram(DIGITS);
        ConcurrentHistogram failed = new ConcurrentHistogram(1);
        CountDownLatch open = new CountDownLatch(REQUESTS);
        TaskThread callers = new TaskThread(1);
        for (int i = 0; i < REQUESTS; i++) {
            String path = "/" + naming.name().toLowerCase(Locale.ROOT) + "/" + i;
            callers.after(
                    (long) i * MICROS_PER_SECOND / RATE,
                    () -> send(naming, path, nanos, failed, open));
        }
        open.await(DEADLINE.toSeconds() * 3, TimeUnit.SECONDS);
        callers.close();
        TimeUnit.MILLISECONDS.sleep(OUTCOMES_WRITTEN.toMillis());
        long writes = mFleet.platform().counts().of(PlatformCall.WRITE) - writesBefore;
        return new Result(
                naming,
                nanos,
                (double) writes / REQUESTS,
                failed.getTotalCount() + open.getCount());
    }

    private void send(
            Naming naming, String path, Histogram nanos, Histogram failed, CountDownLatch open) {
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
        naming.submit(
                mFleet,
                request,
                end -> {
                    if (end instanceof RequestCompletion.Answered) {
                        nanos.recordValue(TIME.monotonicNanos() - start);
                    } else {
                        failed.recordValue(1);
                    }
                    open.countDown();
                });
    }
}
