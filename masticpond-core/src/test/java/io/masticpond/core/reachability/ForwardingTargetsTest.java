package io.masticpond.core.reachability;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * Guards against forwarded requests that reach an instance without a connection to the service
 * again and again, or that all reach the same one.
 */
class ForwardingTargetsTest {

    private static final ServiceId SERVICE = new ServiceId("reads");
    private static final RegionId OWN_REGION = new RegionId("r0");
    private static final RegionId OTHER_REGION = new RegionId("r1");
    private static final ReachabilitySettings SETTINGS = ReachabilitySettings.DEFAULT;

    private final Random mRandom = new Random(45);
    private final ForwardingTargets mTargets =
            new ForwardingTargets(
                    new ZoneId("r0-a"), OWN_REGION, SETTINGS.peerMemory(), mRandom::nextInt);
    private long mNowNanos;

    private static ForwardingPeer peer(String region, String zone, int number) {
        String name = region + "-" + zone;
        return new ForwardingPeer(
                new InstanceId(name + "-" + number), new ZoneId(name), new RegionId(region));
    }

    private static List<ForwardingPeer> fleet(int perZone) {
        List<ForwardingPeer> peers = new ArrayList<>();
        for (String region : List.of("r0", "r1")) {
            for (String zone : List.of("a", "b")) {
                for (int number = 0; number < perZone; number++) {
                    peers.add(peer(region, zone, number));
                }
            }
        }
        return peers;
    }

    private Optional<ForwardingPeer> choose(Set<InstanceId> tried) {
        return mTargets.choose(SERVICE, region -> true, tried, mNowNanos);
    }

    /** Forwards a request until an instance outside of some zones takes it; returns the tries. */
    private int forward(Set<ZoneId> unreachable) {
        Set<InstanceId> tried = new HashSet<>();
        while (true) {
            ForwardingPeer peer = choose(tried).orElseThrow();
            tried.add(peer.id());
            if (!unreachable.contains(peer.zone())) {
                mTargets.processed(peer.id(), SERVICE);
                return tried.size();
            }
            mTargets.unreachable(peer.id(), SERVICE, mNowNanos);
        }
    }

    @Example
    void prefersTheOwnZoneAndSpreadsByRequestsInFlight() {
        mTargets.update(fleet(4));
        Map<InstanceId, Integer> inFlight = new HashMap<>();
        for (int request = 0; request < 100; request++) {
            ForwardingPeer peer = choose(Set.of()).orElseThrow();
            assertThat(peer.zone()).isEqualTo(new ZoneId("r0-a"));
            mTargets.sent(peer.id());
            inFlight.merge(peer.id(), 1, Integer::sum);
        }
        assertThat(inFlight.values()).allMatch(count -> count >= 15 && count <= 35);
    }

    @Example
    void leavesZoneAfterOneInstanceThatDoesNotReachTheServiceEither() {
        mTargets.update(fleet(16));
        assertThat(forward(Set.of(new ZoneId("r0-a")))).isEqualTo(2);
        assertThat(forward(Set.of(new ZoneId("r0-a")))).isEqualTo(1);
    }

    @Example
    void findsAnInstanceWithinThreeTriesWhileOneRegionHasNoConnection() {
        mTargets.update(fleet(16));
        Set<ZoneId> region = Set.of(new ZoneId("r0-a"), new ZoneId("r0-b"));
        for (int request = 0; request < 50; request++) {
            assertThat(forward(region)).isLessThanOrEqualTo(3);
        }
    }

    @Example
    void givesUpOnceAllInstancesLackConnectionsAndTriesAgainLater() {
        List<ForwardingPeer> peers = fleet(10);
        mTargets.update(peers);
        int asked = 0;
        for (Optional<ForwardingPeer> peer = choose(Set.of());
                peer.isPresent();
                peer = choose(Set.of())) {
            mTargets.unreachable(peer.get().id(), SERVICE, mNowNanos);
            asked++;
        }
        assertThat(asked).isLessThanOrEqualTo(8);
        mNowNanos += SETTINGS.peerMemory().toNanos();
        assertThat(choose(Set.of())).isPresent();
    }

    @Example
    void keepsToTheRegionsThatTheRequestMayBeSentTo() {
        mTargets.update(fleet(2));
        assertThat(mTargets.choose(SERVICE, OTHER_REGION::equals, Set.of(), mNowNanos))
                .hasValueSatisfying(peer -> assertThat(peer.region()).isEqualTo(OTHER_REGION));
    }

    @Example
    void avoidsBusyInstanceForShortTime() {
        mTargets.update(List.of(peer("r0", "a", 0)));
        mTargets.busy(new InstanceId("r0-a-0"), mNowNanos);
        assertThat(choose(Set.of())).isEmpty();
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(300);
        assertThat(choose(Set.of())).isPresent();
    }

    @Example
    void forgetsInstancesThatAreNoLongerReady() {
        mTargets.update(fleet(1));
        mTargets.update(List.of());
        assertThat(choose(Set.of())).isEmpty();
    }
}
