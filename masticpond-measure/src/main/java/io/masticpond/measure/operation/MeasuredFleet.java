package io.masticpond.measure.operation;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.testing.backend.BackendFleet;
import io.masticpond.testing.backend.BackendServerSettings;
import io.masticpond.testing.backend.BackendServerStandIn;
import io.masticpond.testing.platform.PlatformServer;
import io.masticpond.testing.platform.PlatformState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Fleet of up to nine instances with a stand-in platform and stand-in backend servers, all in this
 * process.
 */
final class MeasuredFleet implements AutoCloseable {

    static final int INSTANCES = 9;
    static final int BACKENDS = 24;

    private static final int SLOTS = 32;
    private static final double MEAN_MILLIS = 4;
    private static final double SIGMA = 1;
    private static final int CONNECTIONS = 360;
    private static final ZoneId ZONE = new ZoneId("casa-a");

    private final PlatformServer mPlatform;
    private final BackendFleet mBackends;
    private final List<BackendServerSpecification> mServers;
    private final Map<InstanceId, Member> mMembers = new ConcurrentHashMap<>();
    private final AtomicReferenceArray<MeasuredInstance> mInstances =
            new AtomicReferenceArray<>(INSTANCES);
    private final OperationExecutions mExecutions;
    private final long mSeed;
    private long mLastIncarnation;

    MeasuredFleet(long seed) {
        this(seed, INSTANCES);
    }

    MeasuredFleet(long seed, int instances) {
        mSeed = seed;
        mPlatform = new PlatformServer(new PlatformState(new SystemTimeSource(), seed), 0);
        List<BackendServerSettings> settings = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            settings.add(
                    BackendServerSettings.of(
                            "plate-" + i, "127.0.0.1:0", SLOTS, MEAN_MILLIS, SIGMA, seed + i));
        }
        mBackends = new BackendFleet(settings);
        mExecutions = new OperationExecutions(mBackends.log());
        mServers = mBackends.servers().stream().map(MeasuredFleet::specification).toList();
        for (int i = 0; i < instances; i++) {
            start(i);
        }
    }

    private static BackendServerSpecification specification(BackendServerStandIn server) {
        return new BackendServerSpecification(
                new BackendServerId(server.id()),
                ZONE,
                server.address(),
                SLOTS,
                CONNECTIONS,
                false);
    }

    /**
     * Starts a new incarnation of an instance and adds it to all live instances as a peer at once.
     */
    synchronized void start(int index) {
        Incarnation self = new Incarnation(new InstanceId("entry-" + index), ++mLastIncarnation);
        MeasuredInstance instance =
                new MeasuredInstance(
                        self,
                        mPlatform.address(),
                        mServers,
                        this::members,
                        mExecutions,
                        mSeed + mLastIncarnation);
        mMembers.put(self.instance(), instance.member());
        mMembers.values().forEach(instance::addPeer);
        for (int i = 0; i < INSTANCES; i++) {
            MeasuredInstance other = mInstances.get(i);
            if (other != null && other.isAlive()) {
                other.addPeer(instance.member());
            }
        }
        mInstances.set(index, instance);
    }

    /**
     * Marks an instance as dead in the member list of all instances, as if they had found it
     * unresponsive.
     */
    void markDead(int index) {
        Member member = mInstances.get(index).member();
        mMembers.put(
                member.id(),
                new Member(
                        member.incarnation(),
                        member.zone(),
                        member.linkAddress(),
                        "",
                        "",
                        MemberState.DEAD,
                        member.configuration()));
    }

    MeasuredInstance instance(int index) {
        return mInstances.get(index);
    }

    PlatformState platform() {
        return mPlatform.state();
    }

    List<BackendServerSpecification> servers() {
        return mServers;
    }

    OperationExecutions executions() {
        return mExecutions;
    }

    BackendFleet backends() {
        return mBackends;
    }

    private Collection<Member> members() {
        return mMembers.values();
    }

    @Override
    public void close() {
        for (int i = 0; i < INSTANCES; i++) {
            if (mInstances.get(i) != null && mInstances.get(i).isAlive()) {
                mInstances.get(i).kill();
            }
        }
        mBackends.close();
        mPlatform.close();
    }
}
