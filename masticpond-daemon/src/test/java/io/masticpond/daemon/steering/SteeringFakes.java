package io.masticpond.daemon.steering;

import io.masticpond.core.admission.Admission;
import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.admission.SlotShare;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.region.RegionAttemptOutcome;
import io.masticpond.core.region.RegionSelector;
import io.masticpond.core.region.RetryBudget;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.SpendingGate;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Fake implementations of the interfaces of the request path. */
final class SteeringFakes {

    private SteeringFakes() {}

    /** Creates an admitter side that never dispatches or refuses the offered requests. */
    static AdmitterSteering admitter(ShardDirectory directory) {
        return new AdmitterSteering(
                Runnable::run,
                directory,
                (request, server, listener) -> () -> {},
                (shard, sink) -> new HoldingAdmission(),
                Timeline.NONE);
    }

    /** Creates the entry side of an instance that admits to no shard. */
    static EntrySteering entry(
            TimeSource timeSource,
            SpendingGate gate,
            ShardDirectory directory,
            RemoteAdmitter remote) {
        return new EntrySteering(
                Runnable::run,
                timeSource,
                new InstanceId("self"),
                () -> Configuration.EMPTY,
                new EntrySteering.EntryDecisions(
                        new ListSelector(List.of(new RegionId("casa"))),
                        gate,
                        new RetryBudget(0.1, 10)),
                directory,
                admitter(directory),
                remote,
                Timeline.NONE);
    }

    /** Selects the first region of a list that has not been tried. */
    static final class ListSelector implements RegionSelector {

        final List<RegionId> mSelected = new ArrayList<>();
        int mOpenSelections;
        private final List<RegionId> mRegions;

        ListSelector(List<RegionId> regions) {
            mRegions = regions;
        }

        @Override
        public Either<Refusal, RegionId> select(RequestHead request, Set<RegionId> tried) {
            for (RegionId region : mRegions) {
                if (!tried.contains(region)) {
                    mSelected.add(region);
                    mOpenSelections++;
                    return Either.right(region);
                }
            }
            return Either.left(Refusal.didNotRun(RefusalCause.NO_CAPACITY, "All were tried."));
        }

        @Override
        public void observe(ServiceId service, RegionId region, Headroom headroom) {}

        @Override
        public void recordOutcome(
                RequestHead request, RegionId region, RegionAttemptOutcome outcome) {
            mOpenSelections--;
        }

        @Override
        public void setReachable(ServiceId service, RegionId region, boolean reachable) {}
    }

    /** Counts the charges that have not been refunded. */
    static final class CountingGate implements SpendingGate {

        int mCharged;
        boolean mBelowCap = true;
        boolean mRenewing;
        boolean mUnavailable;

        @Override
        public Either<Refusal, Charge> charge(ServiceId service, long priceMicros) {
            if (mRenewing) {
                return Either.left(Refusal.didNotRun(RefusalCause.NOT_READY, "It is renewed."));
            }
            if (mUnavailable) {
                return Either.left(Refusal.didNotRun(RefusalCause.PLATFORM_AWAY, "It is spent."));
            }
            if (!mBelowCap) {
                return Either.left(Refusal.didNotRun(RefusalCause.SPENDING_CAP, "It is reached."));
            }
            mCharged++;
            return Either.right(new Charge(service, new ShiftId("morning"), priceMicros));
        }

        @Override
        public void refund(Charge charge) {
            mCharged--;
        }
    }

    /** Routes all requests to the same shards and instances. */
    record FixedDirectory(List<Shard> shards, List<InstanceId> admitters)
            implements ShardDirectory {

        @Override
        public List<ShardRoute> routes(ServiceId service, RegionId region) {
            return shards.stream().map(shard -> new ShardRoute(shard, admitters)).toList();
        }

        @Override
        public boolean admitsHere(Shard ignored) {
            return false;
        }

        @Override
        public List<Shard> shardsHere() {
            return List.of();
        }

        @Override
        public List<BackendServerSpecification> servers(Shard ignored) {
            return List.of();
        }

        @Override
        public SlotShare share(Shard ignored) {
            return SlotShare.whole(new InstanceId("self"));
        }

        @Override
        public Headroom observe(Shard ignored, Headroom headroom) {
            return headroom;
        }

        @Override
        public List<InstanceId> otherInstances(RequestId request) {
            return admitters;
        }

        @Override
        public void recordForward(Shard ignored) {}
    }

    /** Completes forwards with scripted results. */
    record ScriptedRemote(Deque<RemoteAdmitter.ForwardResult> results, List<InstanceId> forwardedTo)
            implements RemoteAdmitter {

        @Override
        public void forward(
                InstanceId to,
                Shard shard,
                SteeredRequest request,
                Consumer<ForwardResult> listener) {
            forwardedTo.add(to);
            listener.accept(results.remove());
        }

        @Override
        public void steer(InstanceId to, SteeredRequest request, Consumer<ForwardResult> listener) {
            forwardedTo.add(to);
            listener.accept(results.remove());
        }

        @Override
        public void cancel(InstanceId to, RequestId request) {}
    }

    /** Admission that never dispatches or refuses the offered requests. */
    static final class HoldingAdmission implements Admission {

        @Override
        public void configure(List<BackendServerSpecification> servers, SlotShare share) {}

        @Override
        public void offer(RequestHead request) {}

        @Override
        public boolean cancel(RequestId request) {
            return false;
        }

        @Override
        public void complete(RequestId request, AttemptOutcome outcome) {}

        @Override
        public void observe(BackendServerId server, BackendServerSignal signal) {}

        @Override
        public void advance() {}

        @Override
        public Headroom headroom() {
            return Headroom.NONE;
        }
    }
}
