package io.masticpond.core.admission;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A real {@link DefaultAdmission} with a manual time source, and stand-in backend servers that
 * record the requests sent to them.
 */
final class AdmissionHarness implements AdmissionSink {

    static final ServiceId SERVICE = new ServiceId("plate-ledger");
    static final InstanceId SELF = new InstanceId("casa-1");
    static final List<InstanceId> ADMITTERS =
            List.of(SELF, new InstanceId("casa-2"), new InstanceId("casa-3"));
    private static final Duration TICK = Duration.ofMillis(50);

    final ManualTimeSource mTimeSource = new ManualTimeSource(Instant.EPOCH);
    final DefaultAdmission mAdmission;
    final Map<RequestId, BackendServerId> mDispatched = new LinkedHashMap<>();
    final Map<RequestId, Refusal> mRefused = new LinkedHashMap<>();
    final Map<RequestId, RequestHead> mOffered = new LinkedHashMap<>();
    private int mNextRequest;

    AdmissionHarness(AdmissionSettings settings) {
        Shard shard = new Shard(SERVICE, new RegionId("casa"), 0);
        mAdmission = new DefaultAdmission(shard, settings, mTimeSource, this, Timeline.NONE);
    }

    static AdmissionHarness whole(int servers, int slots) {
        AdmissionHarness harness = new AdmissionHarness(AdmissionSettings.DEFAULT);
        harness.mAdmission.configure(servers(servers, slots), SlotShare.whole(SELF));
        return harness;
    }

    /** Creates servers "server-0" and following, alternating between two availability zones. */
    static List<BackendServerSpecification> servers(int count, int slots) {
        List<BackendServerSpecification> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(server(i, slots, false));
        }
        return servers;
    }

    static BackendServerSpecification server(int number, int slots, boolean leaving) {
        String address = "127.0.0.1:" + (9000 + number);
        ZoneId zone = new ZoneId("casa-" + (number % 2 == 0 ? "a" : "b"));
        return new BackendServerSpecification(id(number), zone, address, slots, 360, leaving);
    }

    static BackendServerId id(int number) {
        return new BackendServerId("server-" + number);
    }

    static SlotShare share(AdmissionShare share) {
        return new SlotShare(share, SELF, ADMITTERS);
    }

    @Override
    public void dispatch(RequestHead request, BackendServerId server) {
        require(!mRefused.containsKey(request.id()), "A refused request must never run.");
        require(mDispatched.put(request.id(), server) == null, "A request must run once.");
    }

    @Override
    public void refuse(RequestHead request, Refusal refusal) {
        require(!mDispatched.containsKey(request.id()), "A request that ran must not be refused.");
        require(mRefused.put(request.id(), refusal) == null, "A request must be refused once.");
    }

    RequestId offer(long deadlineMillis) {
        return offer(deadlineMillis, 5, OperationKind.READ);
    }

    RequestId offer(long deadlineMillis, int priority, OperationKind kind) {
        RequestId id = new RequestId("r" + mNextRequest++);
        long deadline = mTimeSource.monotonicNanos() + Duration.ofMillis(deadlineMillis).toNanos();
        RequestHead request = new RequestHead(id, SERVICE, deadline, priority, kind);
        mOffered.put(id, request);
        mAdmission.offer(request);
        return id;
    }

    /** Lets time pass in ticks, as in a running process. */
    void pass(long millis) {
        long left = Duration.ofMillis(millis).toNanos();
        while (left > 0) {
            long step = Math.min(left, TICK.toNanos());
            mTimeSource.advance(Duration.ofNanos(step));
            mAdmission.advance();
            left -= step;
        }
    }

    /** Completes one request after the given time; it must be dispatched at once. */
    BackendServerId run(long millis, AttemptOutcome outcome) {
        RequestId request = offer(10_000);
        require(isDispatched(request), "The request must be dispatched at once.");
        pass(millis);
        mAdmission.complete(request, outcome);
        return mDispatched.get(request);
    }

    boolean isDispatched(RequestId request) {
        return mDispatched.containsKey(request);
    }

    boolean isRefused(RequestId request) {
        return mRefused.containsKey(request);
    }

    boolean isWaiting(RequestId request) {
        return !isDispatched(request) && !isRefused(request);
    }

    void signal(int server, BackendServerSignal.Kind kind) {
        mAdmission.observe(id(server), BackendServerSignal.of(kind));
    }

    void report(int server, int inFlight) {
        mAdmission.observe(
                id(server), new BackendServerSignal(BackendServerSignal.Kind.HEALTHY, inFlight));
    }

    static void require(boolean condition, String message, Object... arguments) {
        if (!condition) {
            throw new AssertionError(String.format(message, arguments));
        }
    }
}
