package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.ConfigurationPlanner;
import io.masticpond.core.configuration.PlanObservations;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.protocol.generated.ConfigurationFetch;
import io.masticpond.protocol.generated.ConfigurationPush;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Instances in one process, with real services, an in-memory platform and links that can be cut.
 */
final class FakeFleet implements AutoCloseable {

    private final FakeObjectStore mStore;
    private final Map<InstanceId, Node> mNodes = new ConcurrentSkipListMap<>();
    private final Set<Set<ZoneId>> mCut = ConcurrentHashMap.newKeySet();
    private final Set<ZoneId> mZonesWithoutPlatform = ConcurrentHashMap.newKeySet();

    FakeFleet(FakeObjectStore store) {
        mStore = store;
    }

    /** Cuts the links between two availability zones. */
    void cut(String first, String second) {
        mCut.add(Set.of(new ZoneId(first), new ZoneId(second)));
    }

    /** Cuts an availability zone off from the platform. */
    void cutFromPlatform(String zone) {
        mZonesWithoutPlatform.add(new ZoneId(zone));
    }

    Node start(String id, String zone) {
        return start(id, zone, mStore);
    }

    /** Starts an instance that reads the platform through the given store. */
    Node start(String id, String zone, ObjectStore platform) {
        Node node = new Node(new InstanceId(id), new ZoneId(zone), platform);
        mNodes.put(node.mId, node);
        node.mService.start();
        return node;
    }

    void stop(Node node) {
        mNodes.remove(node.mId);
        node.mService.close();
    }

    @Override
    public void close() {
        mNodes.values().forEach(node -> node.mService.close());
    }

    /** An instance of the fleet. */
    final class Node implements ConfigurationPeers {

        private final InstanceId mId;
        private final ZoneId mZone;
        private final ConfigurationHolder mHolder = new ConfigurationHolder();
        private final ConfigurationService mService;
        private final ConfigurationCommands mCommands;
        private Handler mHandler;

        Node(InstanceId id, ZoneId zone, ObjectStore platform) {
            mId = id;
            mZone = zone;
            ConfigurationCodec codec = new ConfigurationCodec();
            FakeObjectStore unavailableStore = new FakeObjectStore();
            unavailableStore.setUnavailable(true);
            ObjectStore store = mZonesWithoutPlatform.contains(zone) ? unavailableStore : platform;
            SystemTimeSource time = new SystemTimeSource();
            mService =
                    new ConfigurationService(
                            id, zone, store, this, mHolder, codec, time, Timeline.NONE);
            mCommands =
                    new DefaultConfigurationCommands(
                            mService,
                            mHolder,
                            new ConfigurationPlanner(PlanObservations.NONE),
                            store,
                            codec,
                            time,
                            Timeline.NONE);
        }

        ConfigurationCommands commands() {
            return mCommands;
        }

        ConfigurationService service() {
            return mService;
        }

        ConfigurationHolder holder() {
            return mHolder;
        }

        /** Waits until a version or a higher one is in force. */
        void await(long version) {
            CountDownLatch reached = new CountDownLatch(1);
            mHolder.addListener(
                    configuration -> {
                        if (configuration.version().number() >= version) {
                            reached.countDown();
                        }
                    });
            try {
                Assert.isTrue(
                        reached.await(60, TimeUnit.SECONDS),
                        "%s has version %s and not %d.",
                        mId,
                        mHolder.current().version(),
                        version);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public Collection<Member> members() {
            return mNodes.values().stream().filter(this::reaches).map(Node::asMember).toList();
        }

        @Override
        public void push(InstanceId to, ConfigurationPush push) {
            Node node = mNodes.get(to);
            if (node != null && reaches(node)) {
                node.mHandler.onPush(mId, push);
            }
        }

        @Override
        public CompletableFuture<Optional<ConfigurationPush>> fetch(
                InstanceId from, ConfigurationFetch fetch) {
            CompletableFuture<Optional<ConfigurationPush>> answer = new CompletableFuture<>();
            Node node = mNodes.get(from);
            if (node != null && reaches(node)) {
                node.mHandler.onFetch(fetch, push -> answer.complete(Optional.of(push)));
            }
            return answer.completeOnTimeout(
                    Optional.empty(), Duration.ofMillis(500).toMillis(), TimeUnit.MILLISECONDS);
        }

        @Override
        public void setHandler(Handler handler) {
            mHandler = handler;
        }

        private boolean reaches(Node other) {
            return !other.mId.equals(mId)
                    && (other.mZone.equals(mZone) || !mCut.contains(Set.of(mZone, other.mZone)));
        }

        private Member asMember() {
            return new Member(
                    new Incarnation(mId, 1),
                    mZone,
                    "127.0.0.1:1",
                    "",
                    "",
                    MemberState.LIVE,
                    mHolder.current().version());
        }
    }

    static List<ConfigurationVersion> versions(List<Node> nodes) {
        return nodes.stream().map(node -> node.holder().current().version()).toList();
    }
}
