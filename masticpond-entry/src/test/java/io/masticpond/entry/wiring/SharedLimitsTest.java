package io.masticpond.entry.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.settings.Bounds;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that the shares of a retry budget stay within its bound when a service is first used late.
 */
final class SharedLimitsTest {

    private static final ServiceId OLD = new ServiceId("old");
    private static final ServiceId NEW = new ServiceId("new");
    private static final long LEFT_NANOS = Duration.ofSeconds(60).toNanos();

    private int mShareholders;

    /**
     * All instances have served another service for a minute. Those that leave spend their shares
     * of the budget of the new service just before, and those that stay have their first request
     * for it shortly after. Guards against a new budget that divides by the current number of
     * instances and so grants the spent shares again.
     */
    @Property(seed = "20270311", tries = 100)
    void serviceFirstUsedAfterInstancesLeftDoesNotGetTheirSharesAgain(
            @ForAll @IntRange(min = 2, max = 12) int instances,
            @ForAll @IntRange(min = 1, max = 11) int leaving,
            @ForAll @IntRange(min = 50, max = 9_000) int laterMillis) {
        int staying = Math.max(1, instances - leaving);
        List<SharedLimits> instanceLimits = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            instanceLimits.add(limits(i));
        }
        mShareholders = instances;
        for (long second = 1; second < 60; second++) {
            long now = Duration.ofSeconds(second).toNanos();
            instanceLimits.forEach(limits -> limits.remainingRetries(OLD, now));
        }
        double spent = 0;
        for (SharedLimits leavingInstance : instanceLimits.subList(staying, instances)) {
            spent += spend(leavingInstance, LEFT_NANOS);
        }
        mShareholders = staying;
        long later = LEFT_NANOS + Duration.ofMillis(laterMillis).toNanos();
        for (SharedLimits stayingInstance : instanceLimits.subList(0, staying)) {
            spent += spend(stayingInstance, later);
        }
        assertThat(spent).isLessThanOrEqualTo(Bounds.DEFAULT.retrySlack());
    }

    private static int spend(SharedLimits limits, long nowNanos) {
        int spent = 0;
        while (limits.tryRetry(NEW, nowNanos)) {
            spent++;
        }
        return spent;
    }

    private SharedLimits limits(int number) {
        ZoneId zone = new ZoneId("a");
        return new SharedLimits(
                new InstanceId("instance-" + number),
                new StubPeers(),
                Bounds.DEFAULT,
                Map.of(zone, new RegionId("r")),
                0);
    }

    /** Stub of which only the number of shareholders is used. */
    private final class StubPeers implements PeerView {

        @Override
        public List<PeerInstance> alive() {
            return List.of();
        }

        @Override
        public int shareholders() {
            return mShareholders;
        }
    }
}
