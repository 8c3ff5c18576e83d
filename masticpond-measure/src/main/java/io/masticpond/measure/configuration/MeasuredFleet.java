package io.masticpond.measure.configuration;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.daemon.configuration.ConfigurationPeers;
import io.masticpond.daemon.wiring.LinkConfigurationPeers;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Fleet of nine instances in six availability zones, whose runs can be killed and started.
 *
 * <p>Thread-safe, provided that only one thread starts and kills runs.
 */
final class MeasuredFleet implements AutoCloseable {

    /** Number of instances in the fleet. */
    static final int INSTANCES = 9;

    private static final List<String> ZONES =
            List.of("casa-1", "casa-2", "fes-1", "fes-2", "agadir-1", "agadir-2");

    private final String mPlatform;
    private final long mSeed;
    private final AtomicInteger mLastRun = new AtomicInteger();
    private final Map<InstanceId, MeasuredInstance> mLive = new ConcurrentSkipListMap<>();
    private final List<MeasuredInstance> mAllRuns = new CopyOnWriteArrayList<>();

    MeasuredFleet(String platform, long seed) {
        mPlatform = platform;
        mSeed = seed;
        for (int i = 0; i < INSTANCES; i++) {
            start(i);
        }
    }

    /** Starts a run of an instance and registers its address at all other live instances. */
    MeasuredInstance start(int number) {
        int run = mLastRun.incrementAndGet();
        MeasuredInstance instance =
                new MeasuredInstance(
                        new Incarnation(new InstanceId("entry-" + number), run),
                        new ZoneId(ZONES.get(number % ZONES.size())),
                        mPlatform,
                        this,
                        mSeed + run);
        for (MeasuredInstance other : mLive.values()) {
            registerAddress(instance, other);
            registerAddress(other, instance);
        }
        mLive.put(instance.incarnation().instance(), instance);
        mAllRuns.add(instance);
        instance.start();
        return instance;
    }

    /** Ends the current run of an instance without any message to the other instances. */
    MeasuredInstance kill(int number) {
        MeasuredInstance instance = mLive.remove(new InstanceId("entry-" + number));
        instance.close();
        mLive.values()
                .forEach(other -> other.links().removeInstance(instance.incarnation().instance()));
        return instance;
    }

    MeasuredInstance live(int index) {
        List<MeasuredInstance> live = List.copyOf(mLive.values());
        return live.get(Math.floorMod(index, live.size()));
    }

    Collection<MeasuredInstance> live() {
        return List.copyOf(mLive.values());
    }

    /** Returns all runs of all instances, including those that have ended. */
    List<MeasuredInstance> allRuns() {
        return List.copyOf(mAllRuns);
    }

    void heartbeat() {
        mLive.values().forEach(MeasuredInstance::heartbeat);
    }

    ConfigurationPeers peersOf(MeasuredInstance instance) {
        return new LinkConfigurationPeers(
                instance.incarnation().instance(), instance.links(), () -> membersSeenBy(instance));
    }

    @Override
    public void close() {
        mLive.values().forEach(MeasuredInstance::close);
    }

    private List<Member> membersSeenBy(MeasuredInstance instance) {
        return mLive.values().stream()
                .filter(other -> other != instance)
                .map(MeasuredInstance::asMember)
                .toList();
    }

    private static void registerAddress(MeasuredInstance instance, MeasuredInstance other) {
        instance.links().setAddress(other.incarnation().instance(), other.asMember().linkAddress());
    }
}
