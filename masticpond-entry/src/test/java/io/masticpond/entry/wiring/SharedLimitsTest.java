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

/** The parts of the retry budget of all instances, where a service is first used at any time. */
final class SharedLimitsTest {

    private static final ServiceId OLD = new ServiceId("old");
    private static final ServiceId NEW = new ServiceId("new");
    private static final long LEFT_NANOS = Duration.ofSeconds(60).toNanos();

    private int mShareholders;

    /**
     * All have served another service for long. Those that leave spend their parts for the new one
     * just before, and those that stay have their first request for it shortly after.
     */
    @Property(seed = "20270311", tries = 100)
    void serviceFirstUsedAfterOthersLeftHasNotTheirPartsAsWell(
            @ForAll @IntRange(min = 2, max = 12) int instances,
            @ForAll @IntRange(min = 1, max = 11) int leavers,
            @ForAll @IntRange(min = 50, max = 9_000) int laterMillis) {
        int staying = Math.max(1, instances - leavers);
        List<SharedLimits> all = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            all.add(limits(i));
        }
        mShareholders = instances;
        for (long second = 1; second < 60; second++) {
            long now = Duration.ofSeconds(second).toNanos();
            all.forEach(limits -> limits.left(OLD, now));
        }
        double spent = 0;
        for (SharedLimits leaver : all.subList(staying, instances)) {
            spent += spend(leaver, LEFT_NANOS);
        }
        mShareholders = staying;
        long later = LEFT_NANOS + Duration.ofMillis(laterMillis).toNanos();
        for (SharedLimits stayer : all.subList(0, staying)) {
            spent += spend(stayer, later);
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
                new Peers(),
                Bounds.DEFAULT,
                Map.of(zone, new RegionId("r")),
                0);
    }

    /** Peers of which only the number counts. */
    private final class Peers implements PeerView {

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
