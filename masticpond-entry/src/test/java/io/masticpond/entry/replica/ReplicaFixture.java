package io.masticpond.entry.replica;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.time.Moment;
import io.masticpond.entry.replica.FakeStore.Fault;
import io.masticpond.entry.replica.FakeStore.Feed;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.masticpond.protocol.generated.relay.RelayAsk;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;

/** Fixture with replicas of one store that are linked with each other in memory. */
final class ReplicaFixture {

    /** One way between regions. */
    private static final Duration PROOF_DELAY = Duration.ofMillis(21);

    final ManualScheduler mScheduler = new ManualScheduler();
    final FakeStore mStore = new FakeStore(mScheduler);
    private final Map<ServerAddress, Instance> mInstances = new LinkedHashMap<>();

    ReplicaFixture() {
        mStore.routing(1);
        mStore.server("s1", "ready");
        mStore.server("s2", "ready");
    }

    /** Starts an instance with a fault of its store access from the start. */
    Instance start(FakeStore.Fault fault) {
        return start(fault, false);
    }

    Instance start(FakeStore.Fault fault, boolean isProbeCheap) {
        ServerAddress address = new ServerAddress("10.0.1.1", 1_000 + mInstances.size());
        Instance instance = new Instance(address, isProbeCheap);
        instance.mFeed.fault(fault);
        mInstances.put(address, instance);
        instance.mReplica.start();
        return instance;
    }

    /** Starts instances of one zone, some of which watch the store for all. */
    List<Instance> startSharing(int count, int watchers) {
        List<Instance> instances = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ServerAddress address = new ServerAddress("10.0.1.1", 1_000 + mInstances.size());
            Instance instance = new Instance(address, true, watchers);
            instance.share();
            mInstances.put(address, instance);
            instances.add(instance);
        }
        instances.forEach(instance -> instance.mReplica.start());
        return instances;
    }

    /** Starts instances of one zone that verify their copies and exchange their proofs. */
    List<Instance> startVerifying(int count, int watchers) {
        List<Instance> instances = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ServerAddress address = new ServerAddress("10.0.1.1", 1_000 + mInstances.size());
            Instance instance = new Instance(address, true, watchers);
            instance.share();
            instance.verify(instances, number);
            mInstances.put(address, instance);
            instances.add(instance);
        }
        instances.forEach(instance -> instance.mReplica.start());
        return instances;
    }

    Instance start() {
        Instance instance = start(FakeStore.Fault.NONE);
        pass(100);
        return instance;
    }

    void pass(long millis) {
        mScheduler.pass(Duration.ofMillis(millis));
    }

    /** Instance with its replica, its access to the store and its links to the others. */
    final class Instance implements StoreListener {

        final Feed mFeed = mStore.feed();
        final FleetReplica mReplica;
        final List<FleetSnapshot> mSnapshots = new ArrayList<>();
        final List<CopySource> mSources = new ArrayList<>();
        final List<String> mOutages = new ArrayList<>();
        final List<ServerAddress> mRequestedPeers = new ArrayList<>();
        private final InstanceId mId;
        private WatchVerifier mVerifier;
        private final List<Runnable> mPendingFailures = new ArrayList<>();
        boolean mReady = true;
        Fault mRelayFault = Fault.NONE;

        Instance(ServerAddress ownAddress, boolean isProbeCheap) {
            this(ownAddress, isProbeCheap, 0);
        }

        Instance(ServerAddress ownAddress, boolean isProbeCheap, int watchers) {
            mId = new InstanceId("i-" + ownAddress.port());
            ReplicaContext context =
                    new ReplicaContext(
                            mFeed,
                            mScheduler,
                            mScheduler.time(),
                            RandomSource.SPLIT_MIX_64.create(7L),
                            ReplicaSettings.DEFAULT.withWatchersInZone(watchers));
            mReplica =
                    new FleetReplica(
                            context, probe(isProbeCheap), new FakeTranslator(), this::changed);
            mReplica.addStoreListener(this);
            mReplica.usePeers(
                    () -> peers(ownAddress),
                    this::request,
                    new RelayFallback.Place(new ZoneId("zone-a"), new RegionId("north")));
        }

        private void changed(FleetSnapshot snapshot, CopySource source) {
            mSnapshots.add(snapshot);
            mSources.add(source);
        }

        /** Returns the source of the newest snapshot. */
        CopySource newestSource() {
            return mSources.get(mSources.size() - 1);
        }

        void share() {
            mReplica.shareWatching(
                    new WatcherSelector(
                            new ZoneId("zone-a"),
                            mId,
                            () ->
                                    mInstances.entrySet().stream()
                                            .filter(entry -> entry.getValue().mReady)
                                            .map(
                                                    entry ->
                                                            new RelayMember(
                                                                    entry.getValue().mId,
                                                                    entry.getKey()))
                                            .toList()),
                    (RelayLink) this::request);
        }

        private void verify(List<Instance> all, int rank) {
            ProofPeers peers =
                    new ProofPeers() {
                        @Override
                        public int rank() {
                            return rank;
                        }

                        @Override
                        public void request(int attempt) {
                            if (all.size() > 1) {
                                requestProofs(all.get(rank == 0 ? 1 : attempt % 2));
                            }
                        }
                    };
            mVerifier = mReplica.verifyWatches(peers);
        }

        private void requestProofs(Instance peer) {
            Moment sent = Moment.of(mScheduler.time());
            mScheduler.schedule(
                    PROOF_DELAY,
                    () -> {
                        List<CopyProof> proofs = peer.mVerifier.proofs();
                        mScheduler.schedule(PROOF_DELAY, () -> mVerifier.received(sent, proofs));
                    });
        }

        private void request(
                ServerAddress address,
                RelayAsk request,
                Duration timeout,
                Consumer<Either<String, RelayAnswer>> result) {
            mRequestedPeers.add(address);
            Instance peer = mInstances.get(address);
            AtomicBoolean completed = new AtomicBoolean();
            Consumer<Either<String, RelayAnswer>> once =
                    answer -> {
                        if (completed.compareAndSet(false, true)) {
                            result.accept(answer);
                        }
                    };
            mScheduler.schedule(timeout, () -> once.accept(Either.left("The peer timed out.")));
            peer.mPendingFailures.add(() -> once.accept(Either.left("The peer has terminated.")));
            mScheduler.schedule(
                    Duration.ofMillis(1),
                    () -> {
                        if (peer.mRelayFault == Fault.REFUSED) {
                            once.accept(Either.left("The peer has terminated."));
                            return;
                        }
                        peer.mReplica
                                .relaySource()
                                .hold(
                                        request,
                                        answer ->
                                                peer.reply(
                                                        () -> once.accept(Either.right(answer))));
                    });
        }

        private void reply(Runnable answer) {
            if (mRelayFault == Fault.NONE) {
                mScheduler.schedule(Duration.ofMillis(1), answer);
            }
        }

        /** Fails all requests to this instance now, as the termination of its process does. */
        void killRelay() {
            mRelayFault = Fault.REFUSED;
            List<Runnable> pending = List.copyOf(mPendingFailures);
            mPendingFailures.clear();
            pending.forEach(Runnable::run);
        }

        private StoreProbe probe(boolean isCheap) {
            StoreProbe list = new ListProbe(mFeed);
            return new StoreProbe() {
                @Override
                public void probe(Duration timeout, Consumer<Either<FeedError, Void>> result) {
                    list.probe(timeout, result);
                }

                @Override
                public boolean isCheap() {
                    return isCheap;
                }
            };
        }

        private List<RelayPeer> peers(ServerAddress ownAddress) {
            return mInstances.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(ownAddress))
                    .map(
                            entry ->
                                    new RelayPeer(
                                            entry.getKey(),
                                            new ZoneId("zone-a"),
                                            new RegionId("north"),
                                            entry.getValue().mReplica.revision()))
                    .toList();
        }

        Set<String> servers() {
            return mReplica.snapshot().servers().keySet().stream()
                    .map(BackendServerId::value)
                    .collect(Collectors.toSet());
        }

        long version() {
            return mReplica.snapshot().routing().orElseThrow().version();
        }

        boolean isLeaving(String name) {
            return mReplica.snapshot().servers().get(new BackendServerId(name)).leaving();
        }

        long coldUntil(String name) {
            return mReplica.snapshot().servers().get(new BackendServerId(name)).coldUntilNanos();
        }

        @Override
        public void storeLost() {
            mOutages.add("lost");
        }

        @Override
        public void storeRegained(Duration outage) {
            mOutages.add("regained");
        }
    }
}
