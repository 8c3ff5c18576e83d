package io.masticpond.measure.replacement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.measure.fleet.EndedRequest;
import io.masticpond.measure.fleet.FleetInstance;
import io.masticpond.measure.fleet.LoadStatistics;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Arranges requests around a kill and asserts which of them count as taken by it. */
class CrashAttributionTest {

    private static final long KILL = 1_000;
    private static final long DEAD = 1_005;
    private static final String REFUSED = "did-not-run: platform-away";
    private static final FleetInstance VICTIM = new FleetInstance("casa-1", "casa-1", "127.1.1.1");
    private static final FleetInstance OTHER = new FleetInstance("fes-1", "fes-1", "127.1.2.1");

    private final List<EndedRequest> mRequests = new ArrayList<>();

    @Example
    void requestsThatNeedNothingThatWasKilledAreAvoidable() {
        add(false, DEAD, KILL + 10, REFUSED);
        add(false, DEAD, KILL + 10, LoadStatistics.ANSWERED);
        assertThat(trace().avoidable()).isEqualTo(1);
        assertThat(trace().needPlatform() + trace().underWay()).isZero();
    }

    @Example
    void requestsWithOwnKeysNeedThePlatformFromTheKillOn() {
        add(true, KILL + 1, KILL + 10, REFUSED);
        add(true, KILL - 20, KILL + 1, LoadStatistics.ANSWERED);
        add(true, KILL - 20, KILL - 10, REFUSED);
        assertThat(trace().needPlatform()).isEqualTo(2);
        assertThat(trace().avoidable()).isEqualTo(1);
    }

    @Example
    void requestsUnderWayAtTheKillMayBeTakenByIt() {
        add(false, KILL - 1, KILL, REFUSED);
        add(false, DEAD - 1, DEAD, REFUSED);
        add(false, KILL - 20, KILL - 1, REFUSED);
        assertThat(trace().underWay()).isEqualTo(2);
        assertThat(trace().avoidable()).isEqualTo(1);
    }

    @Example
    void causesNameTheInstanceAskedAndWhetherItWasKilled() {
        add(false, DEAD, KILL + 1_500_000_000, REFUSED);
        add(false, DEAD, KILL + 2_500_000_000L, REFUSED);
        assertThat(trace().causes().rows())
                .containsExactly(
                        List.of(
                                REFUSED,
                                "layout-view",
                                "no",
                                "casa-1 (killed)",
                                "1.50",
                                "2.50",
                                "2"));
        assertThat(trace().seconds().rows())
                .containsExactly(
                        List.of("1", "1", "0", "0", "1"), List.of("2", "1", "0", "0", "1"));
    }

    private void add(boolean ownKey, long start, long end, String how) {
        mRequests.add(
                new EndedRequest("layout-view", ownKey, VICTIM.callerAddress(), start, end, how));
    }

    private CrashAttribution trace() {
        return new CrashAttribution(List.of(VICTIM, OTHER), List.of(VICTIM), mRequests, KILL, DEAD);
    }
}
