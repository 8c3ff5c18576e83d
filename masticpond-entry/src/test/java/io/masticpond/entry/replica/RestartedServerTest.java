package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import net.jqwik.api.Example;

/** A backend server may start again under its id: nothing that was learnt before holds. */
class RestartedServerTest {

    private static final String SERVER = "s3";

    private final ReplicaFixture mFixture = new ReplicaFixture();
    private final FakeStore mStore = mFixture.mStore;
    private final Instance mInstance = mFixture.start();

    private int run() {
        return mInstance.mReplica.snapshot().servers().get(new BackendServerId(SERVER)).run();
    }

    private void writes(String entry) {
        mStore.server(SERVER, entry);
        mFixture.pass(1_200);
    }

    @Example
    void anotherTimeOfBirthIsAnotherRun() {
        writes("ready born:1000 seq:40");
        writes("ready born:1000 seq:41");
        assertThat(run()).isZero();
        writes("cold:3 born:9000 seq:1");
        assertThat(run()).isEqualTo(1);
        assertThat(mInstance.coldUntil(SERVER))
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
    }

    @Example
    void anEarlierTimeOfBirthIsAnotherRunSinceClocksAreSetBack() {
        writes("ready born:9000 seq:40");
        writes("ready born:7000 seq:1");
        assertThat(run()).isEqualTo(1);
    }

    @Example
    void aLateWordOfTheFormerRunChangesNothing() {
        writes("ready born:1000 seq:40");
        writes("ready born:9000 seq:1");
        writes("leaving born:1000 seq:41");
        assertThat(mInstance.isLeaving(SERVER)).isFalse();
        writes("ready born:9000 seq:2");
        mFixture.pass(10_000);
        assertThat(run()).isEqualTo(1);
        assertThat(mInstance.isLeaving(SERVER)).isFalse();
    }

    @Example
    void aLateWordOfTheSameRunChangesNothing() {
        writes("leaving born:1000 seq:41");
        writes("ready born:1000 seq:40");
        assertThat(mInstance.isLeaving(SERVER)).isTrue();
        assertThat(run()).isZero();
    }

    @Example
    void aWordThatItsServerLetsStandIsTaken() {
        writes("ready born:1000 seq:40");
        writes("ready born:9000 seq:1");
        writes("cold:30 born:1000 seq:2");
        assertThat(run()).isEqualTo(1);
        mFixture.pass(4_000);
        assertThat(run()).isEqualTo(2);
        assertThat(mInstance.coldUntil(SERVER))
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
    }

    @Example
    void withoutTimeOfBirthCountThatGoesBackTells() {
        writes("ready seq:40");
        writes("ready seq:42");
        assertThat(run()).isZero();
        writes("ready seq:1");
        assertThat(run()).isEqualTo(1);
    }

    @Example
    void aServerThatBeginsToTellItsBirthIsNotAnotherForThat() {
        writes("ready seq:40");
        writes("ready born:1000 seq:41");
        writes("ready seq:42");
        assertThat(run()).isZero();
        writes("ready born:9000 seq:1");
        assertThat(run()).isEqualTo(1);
    }

    @Example
    void theStateThatTheFormerRunLeftInTheEntryIsNotThatOfTheNextRun() {
        writes("ready born:1000 seq:40");
        mStore.server(SERVER, "ready born:9000 seq:40");
        mFixture.pass(300);
        assertThat(run()).isEqualTo(1);
        assertThat(mInstance.coldUntil(SERVER))
                .as("its state is not known yet")
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
        writes("cold:3 born:9000 seq:1");
        assertThat(mInstance.coldUntil(SERVER))
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
        writes("leaving born:9000 seq:2");
        assertThat(mInstance.isLeaving(SERVER)).isTrue();
    }

    @Example
    void serverThatStartedAgainAndSaysNoMoreIsWarmOnceAnyStartIsOver() {
        writes("ready born:1000 seq:40");
        writes("ready born:9000 seq:1");
        assertThat(mInstance.coldUntil(SERVER))
                .isGreaterThan(mFixture.mScheduler.time().monotonicNanos());
        mFixture.pass(4_000);
        assertThat(mInstance.coldUntil(SERVER))
                .isLessThan(mFixture.mScheduler.time().monotonicNanos());
    }

    @Example
    void theRunIsKnownAgainAfterItsEntryWasGone() {
        writes("ready born:1000 seq:40");
        mStore.delete(Category.BACKEND_SERVERS, SERVER);
        mFixture.pass(1_200);
        assertThat(mInstance.servers()).doesNotContain(SERVER);
        writes("ready born:9000 seq:1");
        assertThat(run()).isEqualTo(1);
    }

    @Example
    void anInstanceThatRestartsKnowsOnlyTheRunThatItFinds() {
        writes("ready born:1000 seq:40");
        writes("ready born:9000 seq:1");
        Instance late = mFixture.start();
        assertThat(late.servers()).contains(SERVER);
    }
}
