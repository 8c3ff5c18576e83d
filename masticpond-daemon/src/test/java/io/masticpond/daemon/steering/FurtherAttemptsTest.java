package io.masticpond.daemon.steering;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.region.RetryBudget;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.metrics.AttemptKind;
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/**
 * Tests that the listener is notified of the kind of each attempt after the first, and of nothing
 * else.
 */
class FurtherAttemptsTest {

    private static final ServiceId SERVICE = new ServiceId("plate-ledger");
    private static final ForwardResult ANSWER =
            new ForwardResult.Ended(
                    new RequestCompletion.Answered(200, List.of(), new byte[0], "server-1"),
                    Optional.empty());
    private static final ForwardResult REFUSED =
            new ForwardResult.Ended(
                    new RequestCompletion.Refused(
                            Refusal.didNotRun(RefusalCause.NO_CAPACITY, "No slot is free.")),
                    Optional.empty());
    private static final ForwardResult LOST =
            new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke.");

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T08:00:00Z"));
    private final List<AttemptKind> mKinds = new ArrayList<>();

    @Example
    void doesNotNotifyOfFirstAttempt() {
        submit(ANSWER);
        assertThat(mKinds).isEmpty();
    }

    @Example
    void refusedRequestThatContinuesIsSpill() {
        submit(REFUSED, ANSWER);
        assertThat(mKinds).containsExactly(AttemptKind.SPILL);
    }

    @Example
    void readAfterLostLinkIsRetryAndItsRefusalIsOneSpill() {
        submit(LOST, REFUSED, ANSWER);
        assertThat(mKinds).containsExactly(AttemptKind.RETRY, AttemptKind.SPILL);
    }

    @Example
    void unreachableInstanceIsNoFurtherAttempt() {
        submit(new ForwardResult.NotSent("The connection was refused."), ANSWER);
        assertThat(mKinds).isEmpty();
    }

    private void submit(ForwardResult... results) {
        Deque<ForwardResult> script = new ArrayDeque<>(List.of(results));
        ShardDirectory directory =
                new SteeringFakes.FixedDirectory(
                        List.of(new Shard(SERVICE, new RegionId("casa"), 0)),
                        List.of(new InstanceId("first"), new InstanceId("second")));
        EntrySteering entry =
                new EntrySteering(
                        Runnable::run,
                        mTime,
                        new InstanceId("self"),
                        () -> Configuration.EMPTY,
                        new EntrySteering.EntryDecisions(
                                new SteeringFakes.ListSelector(
                                        List.of(new RegionId("casa"), new RegionId("fes"))),
                                new SteeringFakes.CountingGate(),
                                new RetryBudget(0.1, 10)),
                        directory,
                        new AdmitterSteering(
                                Runnable::run,
                                directory,
                                (request, server, listener) -> () -> {},
                                (shard, sink) -> new SteeringFakes.HoldingAdmission(),
                                Timeline.NONE),
                        new SteeringFakes.ScriptedRemote(script, new ArrayList<>()),
                        Timeline.NONE);
        entry.setFurtherAttemptListener((service, kind) -> mKinds.add(kind));
        RequestHead head =
                new RequestHead(
                        new RequestId("request-1"),
                        SERVICE,
                        Duration.ofSeconds(1).toNanos(),
                        5,
                        OperationKind.READ);
        entry.submit(
                new SteeredRequest(
                        head,
                        Optional.empty(),
                        "GET",
                        "/x",
                        List.of(),
                        new byte[0],
                        Optional.empty()),
                end -> {});
        assertThat(script).isEmpty();
    }
}
