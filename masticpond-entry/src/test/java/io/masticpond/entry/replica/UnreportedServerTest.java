package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.entry.replica.FakeStore.Fault;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import net.jqwik.api.Example;

/**
 * Guards against requests to a cold backend server that has registered but not yet reported its
 * state, and against services left empty while waiting for such reports.
 */
class UnreportedServerTest {

    private static final long WARM_UP_MILLIS = 4_000;

    private final ReplicaFixture mFixture = new ReplicaFixture();
    private final FakeStore mStore = mFixture.mStore;

    private long nowNanos() {
        return mFixture.mScheduler.time().monotonicNanos();
    }

    @Example
    void omitsServerUntilItReportsWhileOthersOfItsServiceHave() {
        Instance instance = mFixture.start();
        mStore.server("s3", "new");
        mFixture.pass(500);
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
        mStore.server("s3", "cold:3");
        mFixture.pass(200);
        assertThat(instance.servers()).contains("s3");
        assertThat(instance.coldUntil("s3")).isGreaterThan(nowNanos());
    }

    @Example
    void receivesReportSoonDuringBurstsOfOtherChanges() {
        Instance instance = mFixture.start();
        for (int change = 0; change < 300; change++) {
            mStore.server("s2", "cold:" + (change + 1));
            mFixture.pass(10);
        }
        mStore.server("s3", "new");
        mFixture.pass(1_100);
        mStore.server("s4", "new");
        mFixture.pass(100);
        mStore.server("s3", "cold:3");
        mStore.server("s4", "cold:3");
        mFixture.pass(200);
        assertThat(instance.servers()).contains("s3", "s4");
    }

    @Example
    void serviceWithoutAnyReportsIsColdAndNotEmpty() {
        mStore.server("s1", "new");
        mStore.server("s2", "new");
        Instance late = mFixture.start();
        assertThat(late.servers()).containsExactlyInAnyOrder("s1", "s2");
        assertThat(late.coldUntil("s1")).isGreaterThan(nowNanos());
        mStore.server("s1", "ready");
        mFixture.pass(500);
        assertThat(late.servers()).containsExactly("s1");
    }

    @Example
    void neverUsesServerThatDoesNotReport() {
        Instance instance = mFixture.start();
        mStore.server("s3", "new");
        mFixture.pass(WARM_UP_MILLIS - 100);
        assertThat(instance.servers()).doesNotContain("s3");
        mFixture.pass(300);
        assertThat(instance.servers()).doesNotContain("s3");
        mFixture.pass(60_000);
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
        mStore.server("s3", "ready");
        mFixture.pass(1_200);
        assertThat(instance.servers()).contains("s3");
    }

    @Example
    void waitsForReportsOfServiceNoLongerThanTheWarmUp() {
        mStore.server("s1", "new");
        mStore.server("s2", "new");
        Instance instance = mFixture.start();
        mFixture.pass(WARM_UP_MILLIS + 300);
        assertThat(instance.servers()).isEmpty();
        mStore.server("s2", "ready");
        mFixture.pass(1_200);
        assertThat(instance.servers()).containsExactly("s2");
    }

    @Example
    void keepsEarlierReportWhenAnEntryIsWrittenAgainAfterAnOutage() {
        Instance instance = mFixture.start();
        instance.mFeed.fault(Fault.REFUSED);
        mFixture.pass(6_000);
        for (String name : new String[] {"s1", "s2"}) {
            mStore.delete(Category.BACKEND_SERVERS, name);
            mStore.server(name, "new");
        }
        instance.mFeed.fault(Fault.NONE);
        mFixture.pass(6_000);
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
        assertThat(instance.coldUntil("s1")).isLessThanOrEqualTo(nowNanos());
    }

    @Example
    void makesFewCallsWhenServerNeverReports() {
        Instance instance = mFixture.start();
        int before = instance.mFeed.calls();
        mStore.server("s3", "new");
        for (int change = 0; change < 500; change++) {
            mStore.server("s2", "cold:" + (change + 1));
            mFixture.pass(10);
        }
        assertThat(instance.mFeed.calls() - before).isLessThan(32);
    }
}
