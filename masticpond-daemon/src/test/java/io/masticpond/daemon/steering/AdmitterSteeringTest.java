package io.masticpond.daemon.steering;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.admission.AdmissionSettings;
import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.admission.DefaultAdmission;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.admission.SlotShare;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import net.jqwik.api.Example;

class AdmitterSteeringTest {

    private static final ServiceId SERVICE = new ServiceId("layout-view");
    private static final Shard SHARD = new Shard(SERVICE, new RegionId("casa"), 0);
    private static final InstanceId SELF = new InstanceId("self");
    private static final BackendServerSpecification SERVER =
            new BackendServerSpecification(
                    new BackendServerId("s1"), new ZoneId("casa-1"), "127.0.0.1:9", 1, 10, false);

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T08:00:00Z"));
    private final Map<String, RequestCompletion> mCompletions = new HashMap<>();
    private final Map<String, Consumer<BackendDispatcher.AttemptResult>> mAttempts =
            new HashMap<>();
    private final List<String> mCancelled = new ArrayList<>();
    private boolean mAdmitsHere = true;
    private final AdmitterSteering mAdmitter =
            new AdmitterSteering(
                    Runnable::run,
                    new Directory(),
                    this::dispatch,
                    (shard, sink) ->
                            new DefaultAdmission(
                                    shard, AdmissionSettings.DEFAULT, mTime, sink, Timeline.NONE),
                    Timeline.NONE);

    @Example
    void movedShardRefusesWaitingRequestsAndFinishesThoseInFlight() {
        offer("running");
        offer("waiting");
        assertThat(mAttempts).containsOnlyKeys("running");
        mAdmitsHere = false;
        mAdmitter.reconfigure();
        assertThat(verdict("waiting")).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(mCompletions).doesNotContainKey("running");
        answer("running");
        assertThat(mCompletions.get("running")).isInstanceOf(RequestCompletion.Answered.class);
        assertThat(mAdmitter.inFlight()).isZero();
    }

    @Example
    void requestsForShardsOfAnotherInstanceDoNotRun() {
        mAdmitsHere = false;
        offer("stray");
        assertThat(mAttempts).isEmpty();
        assertThat(verdict("stray")).isEqualTo(Verdict.DID_NOT_RUN);
    }

    @Example
    void duplicateRequestRunsOnce() {
        offer("same");
        RequestCompletion[] second = new RequestCompletion[1];
        mAdmitter.offer(SHARD, request("same"), completion -> second[0] = completion);
        assertThat(second[0]).isInstanceOf(RequestCompletion.Refused.class);
        assertThat(mAttempts).hasSize(1);
    }

    @Example
    void cancelRefusesWaitingRequestAsNotRunAndCancelsAttemptInFlight() {
        offer("running");
        offer("waiting");
        mAdmitter.cancel(new RequestId("waiting"));
        assertThat(verdict("waiting")).isEqualTo(Verdict.DID_NOT_RUN);
        mAdmitter.cancel(new RequestId("running"));
        assertThat(mCancelled).containsExactly("running");
        assertThat(mCompletions).doesNotContainKey("running");
    }

    @Example
    void freedSlotGoesToWaitingRequest() {
        offer("first");
        offer("second");
        answer("first");
        assertThat(mAttempts).containsKey("second");
    }

    private void offer(String id) {
        mAdmitter.offer(SHARD, request(id), completion -> mCompletions.put(id, completion));
    }

    private SteeredRequest request(String id) {
        RequestHead head =
                new RequestHead(
                        new RequestId(id),
                        SERVICE,
                        mTime.monotonicNanos() + Duration.ofSeconds(5).toNanos(),
                        5,
                        OperationKind.READ);
        return new SteeredRequest(
                head, Optional.empty(), "GET", "/x", List.of(), new byte[0], Optional.empty());
    }

    private BackendDispatcher.Attempt dispatch(
            SteeredRequest request,
            BackendServerSpecification server,
            Consumer<BackendDispatcher.AttemptResult> listener) {
        String id = request.head().id().value();
        mAttempts.put(id, listener);
        return () -> mCancelled.add(id);
    }

    private void answer(String id) {
        mAttempts
                .get(id)
                .accept(
                        new BackendDispatcher.AttemptResult(
                                AttemptOutcome.ANSWERED,
                                new RequestCompletion.Answered(200, List.of(), new byte[0], "s1"),
                                false));
    }

    private Verdict verdict(String id) {
        return ((RequestCompletion.Refused) mCompletions.get(id)).refusal().verdict();
    }

    private final class Directory implements ShardDirectory {

        @Override
        public List<ShardRoute> routes(ServiceId service, RegionId region) {
            return List.of(new ShardRoute(SHARD, List.of(SELF)));
        }

        @Override
        public boolean admitsHere(Shard shard) {
            return mAdmitsHere;
        }

        @Override
        public List<Shard> shardsHere() {
            return mAdmitsHere ? List.of(SHARD) : List.of();
        }

        @Override
        public List<BackendServerSpecification> servers(Shard shard) {
            return List.of(SERVER);
        }

        @Override
        public SlotShare share(Shard shard) {
            return SlotShare.whole(SELF);
        }

        @Override
        public Headroom observe(Shard shard, Headroom headroom) {
            return headroom;
        }

        @Override
        public List<InstanceId> otherInstances(RequestId request) {
            return List.of();
        }

        @Override
        public void recordForward(Shard shard) {}
    }
}
