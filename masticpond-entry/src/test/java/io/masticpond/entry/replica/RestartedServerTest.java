package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import net.jqwik.api.Example;

/**
 * Guards against state of a former run that is applied to a backend server that has restarted under
 * the same id.
 */
class RestartedServerTest {

    private static final String SERVER = "s3";

    private final ReplicaFixture mFixture = new ReplicaFixture();
    private final FakeStore mStore = mFixture.mStore;
    private final Instance mInstance = mFixture.start();

    private int run() {
        return mInstance.mReplica.snapshot().servers().get(new BackendServerId(SERVER)).run();
    }

    private void write(String entry) {
        mStore.server(SERVER, entry);
        mFixture.pass(1_200);
    }

    @Example
    void differentStartTimeIsNewRun() {
        write("ready born:1000 seq:40");
        write("ready born:1000 seq:41");
        assertThat(run()).isZero();
        write("cold:3 born:9000 seq:1");
        assertThat(run()).isEqualTo(1);
        assertThat(mInstance.coldUntil(SERVER))
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
    }

    @Example
    void earlierStartTimeIsNewRunSinceClocksAreSetBack() {
        write("ready born:9000 seq:40");
        write("ready born:7000 seq:1");
        assertThat(run()).isEqualTo(1);
    }

    @Example
    void ignoresLateEntryOfTheFormerRun() {
        write("ready born:1000 seq:40");
        write("ready born:9000 seq:1");
        write("leaving born:1000 seq:41");
        assertThat(mInstance.isLeaving(SERVER)).isFalse();
        write("ready born:9000 seq:2");
        mFixture.pass(10_000);
        assertThat(run()).isEqualTo(1);
        assertThat(mInstance.isLeaving(SERVER)).isFalse();
    }

    @Example
    void ignoresLateEntryOfTheSameRun() {
        write("leaving born:1000 seq:41");
        write("ready born:1000 seq:40");
        assertThat(mInstance.isLeaving(SERVER)).isTrue();
        assertThat(run()).isZero();
    }

    @Example
    void acceptsOvertakenEntryThatIsNotReplaced() {
        write("ready born:1000 seq:40");
        write("ready born:9000 seq:1");
        write("cold:30 born:1000 seq:2");
        assertThat(run()).isEqualTo(1);
        mFixture.pass(4_000);
        assertThat(run()).isEqualTo(2);
        assertThat(mInstance.coldUntil(SERVER))
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
    }

    @Example
    void decreasingCountWithoutStartTimeIsNewRun() {
        write("ready seq:40");
        write("ready seq:42");
        assertThat(run()).isZero();
        write("ready seq:1");
        assertThat(run()).isEqualTo(1);
    }

    @Example
    void firstReportedStartTimeIsNoNewRun() {
        write("ready seq:40");
        write("ready born:1000 seq:41");
        write("ready seq:42");
        assertThat(run()).isZero();
        write("ready born:9000 seq:1");
        assertThat(run()).isEqualTo(1);
    }

    @Example
    void stateLeftByTheFormerRunIsNotAppliedToTheNextRun() {
        write("ready born:1000 seq:40");
        mStore.server(SERVER, "ready born:9000 seq:40");
        mFixture.pass(300);
        assertThat(run()).isEqualTo(1);
        assertThat(mInstance.coldUntil(SERVER))
                .as("its state is not known yet")
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
        write("cold:3 born:9000 seq:1");
        assertThat(mInstance.coldUntil(SERVER))
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
        write("leaving born:9000 seq:2");
        assertThat(mInstance.isLeaving(SERVER)).isTrue();
    }

    @Example
    void restartedServerWithoutFurtherEntriesIsWarmAfterTheWarmUp() {
        write("ready born:1000 seq:40");
        write("ready born:9000 seq:1");
        assertThat(mInstance.coldUntil(SERVER))
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
        mFixture.pass(4_000);
        assertThat(mInstance.coldUntil(SERVER))
                .isLessThan(mFixture.mScheduler.time().monotonicNanos());
    }

    @Example
    void recognizesTheRunAfterItsEntryWasRemoved() {
        write("ready born:1000 seq:40");
        mStore.delete(Category.BACKEND_SERVERS, SERVER);
        mFixture.pass(1_200);
        assertThat(mInstance.servers()).doesNotContain(SERVER);
        write("ready born:9000 seq:1");
        assertThat(run()).isEqualTo(1);
    }

    @Example
    void laterStartedInstanceUsesTheCurrentRunOfServers() {
        write("ready born:1000 seq:40");
        write("ready born:9000 seq:1");
        Instance late = mFixture.start();
        assertThat(late.servers()).contains(SERVER);
    }
}
