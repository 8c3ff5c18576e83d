package io.masticpond.measure.replacement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.measure.fleet.CompletedRequest;
import io.masticpond.measure.fleet.FleetInstance;
import io.masticpond.measure.fleet.LoadStatistics;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests for {@link CrashAttribution}: which of the requests around a kill are attributed to it. */
class CrashAttributionTest {

    private static final long KILL = 1_000;
    private static final long TERMINATED = 1_005;
    private static final String REFUSED = "did-not-run: platform-away";
    private static final FleetInstance KILLED_INSTANCE =
            new FleetInstance("casa-1", "casa-1", "127.1.1.1");
    private static final FleetInstance RUNNING_INSTANCE =
            new FleetInstance("fes-1", "fes-1", "127.1.2.1");

    private final List<CompletedRequest> mRequests = new ArrayList<>();

    @Example
    void countsUnansweredRequestsUnrelatedToKillAsAvoidable() {
        add(false, TERMINATED, KILL + 10, REFUSED);
        add(false, TERMINATED, KILL + 10, LoadStatistics.ANSWERED);
        assertThat(attribution().avoidable()).isEqualTo(1);
        assertThat(attribution().needPlatform() + attribution().underWay()).isZero();
    }

    @Example
    void countsRequestsWithCallerKeysAsNeedingPlatformAfterKill() {
        add(true, KILL + 1, KILL + 10, REFUSED);
        add(true, KILL - 20, KILL + 1, LoadStatistics.ANSWERED);
        add(true, KILL - 20, KILL - 10, REFUSED);
        assertThat(attribution().needPlatform()).isEqualTo(2);
        assertThat(attribution().avoidable()).isEqualTo(1);
    }

    @Example
    void countsRequestsUnderWayDuringKillAsUnavoidable() {
        add(false, KILL - 1, KILL, REFUSED);
        add(false, TERMINATED - 1, TERMINATED, REFUSED);
        add(false, KILL - 20, KILL - 1, REFUSED);
        assertThat(attribution().underWay()).isEqualTo(2);
        assertThat(attribution().avoidable()).isEqualTo(1);
    }

    @Example
    void listsRequestedInstanceAndWhetherItWasKilled() {
        add(false, TERMINATED, KILL + 1_500_000_000, REFUSED);
        add(false, TERMINATED, KILL + 2_500_000_000L, REFUSED);
        assertThat(attribution().causes().rows())
                .containsExactly(
                        List.of(
                                REFUSED,
                                "layout-view",
                                "no",
                                "casa-1 (killed)",
                                "1.50",
                                "2.50",
                                "2"));
        assertThat(attribution().seconds().rows())
                .containsExactly(
                        List.of("1", "1", "0", "0", "1"), List.of("2", "1", "0", "0", "1"));
    }

    private void add(boolean callerKey, long start, long end, String outcome) {
        mRequests.add(
                new CompletedRequest(
                        "layout-view",
                        callerKey,
                        KILLED_INSTANCE.callerAddress(),
                        start,
                        end,
                        outcome));
    }

    private CrashAttribution attribution() {
        return new CrashAttribution(
                List.of(KILLED_INSTANCE, RUNNING_INSTANCE),
                List.of(KILLED_INSTANCE),
                mRequests,
                KILL,
                TERMINATED);
    }
}
