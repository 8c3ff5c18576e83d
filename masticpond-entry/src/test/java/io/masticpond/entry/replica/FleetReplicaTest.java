package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.replica.FakeStore.Fault;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import java.time.Duration;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class FleetReplicaTest {

    private final ReplicaFixture mFixture = new ReplicaFixture();
    private final FakeStore mStore = mFixture.mStore;

    @Example
    void listsAllCategoriesAtTheStartAndAppliesChangesWithinTheirBounds() {
        Instance instance = mFixture.start();
        assertThat(instance.mReplica.isUsable()).isTrue();
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
        mStore.routing(5);
        mStore.server("s1", "leaving");
        mStore.delete(Category.BACKEND_SERVERS, "s2");
        mStore.put(Category.EVACUATIONS, "zone-a", JsonNodeFactory.instance.objectNode());
        mFixture.pass(1_000);
        assertThat(instance.version()).isEqualTo(5);
        assertThat(instance.isLeaving("s1")).isTrue();
        assertThat(instance.servers()).containsExactly("s1");
        assertThat(instance.mReplica.snapshot().evacuatedZones())
                .containsExactly(new ZoneId("zone-a"));
        mStore.delete(Category.EVACUATIONS, "zone-a");
        mFixture.pass(1_000);
        assertThat(instance.mReplica.snapshot().evacuatedZones()).isEmpty();
        assertThat(instance.mOutages).isEmpty();
    }

    @Example
    void makesOneCallPerCategoryAndWatchPeriodWhenNothingChanges() {
        Instance instance = mFixture.start();
        int atStart = instance.mFeed.calls();
        assertThat(atStart).isEqualTo(6);
        mFixture.pass(89_000);
        assertThat(instance.mFeed.calls() - atStart).isEqualTo(6);
    }

    @Example
    void makesFewCallsInBurstsAndStillReceivesLeavingServersInTime() {
        Instance instance = mFixture.start();
        int before = instance.mFeed.calls();
        for (int change = 0; change < 500; change++) {
            mStore.server("s2", "cold:" + (change + 1));
            mFixture.pass(10);
        }
        assertThat(instance.mFeed.calls() - before).isBetween(5, 12);
        mStore.server("s1", "leaving");
        mFixture.pass(700);
        assertThat(instance.isLeaving("s1")).isTrue();
    }

    @Example
    void listsAtOnceWhenItsWatchIsCutAndTheHistoryDropped() {
        Instance instance = mFixture.start();
        mFixture.pass(5_000);
        instance.mFeed.dropEvents(true);
        mStore.delete(Category.BACKEND_SERVERS, "s1");
        mStore.routing(9);
        mFixture.pass(1_000);
        assertThat(instance.servers()).contains("s1");
        instance.mFeed.dropEvents(false);
        Instance other = mFixture.start();
        mStore.compact();
        mFixture.pass(30);
        assertThat(other.servers()).containsExactly("s2");
        // The watches of the first instance are dead, so only the revision of its peer shows the
        // change.
        mFixture.pass(2_500);
        assertThat(instance.servers()).containsExactly("s2");
        assertThat(instance.version()).isEqualTo(9);
        assertThat(instance.mOutages).isEmpty();
    }

    @Example
    void listsWithin250MillisecondsWhenAllWatchesAreCut() {
        Instance instance = mFixture.start();
        mFixture.pass(5_000);
        mStore.server("s3", "ready");
        mStore.delete(Category.BACKEND_SERVERS, "s1");
        mStore.compact();
        mFixture.pass(250);
        assertThat(instance.servers()).containsExactlyInAnyOrder("s2", "s3");
        assertThat(instance.mOutages).isEmpty();
    }

    @Example
    void keepsEntriesExpiredInAnOutageUntilRewrittenOrTheGracePeriodEnds() {
        Instance instance = mFixture.start();
        mStore.server("s3", "leaving");
        mFixture.pass(500);
        instance.mFeed.fault(Fault.REFUSED);
        mFixture.pass(6_000);
        assertThat(instance.mOutages).containsExactly("lost");
        mStore.delete(Category.BACKEND_SERVERS, "s1");
        mStore.delete(Category.BACKEND_SERVERS, "s2");
        mStore.delete(Category.BACKEND_SERVERS, "s3");
        instance.mFeed.fault(Fault.NONE);
        mFixture.pass(1_500);
        assertThat(instance.mOutages).containsExactly("lost", "regained");
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
        mStore.server("s1", "ready");
        mFixture.pass(900);
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
        mFixture.pass(1_500);
        assertThat(instance.servers()).containsExactly("s1");
        mStore.delete(Category.BACKEND_SERVERS, "s1");
        mFixture.pass(1_000);
        assertThat(instance.servers()).isEmpty();
    }

    @Example
    void keepsExpiredEntriesWhenTheHistoryWasDroppedInTheOutage() {
        Instance instance = mFixture.start();
        instance.mFeed.fault(Fault.SILENT);
        mFixture.pass(35_000);
        assertThat(instance.mOutages).containsExactly("lost");
        mStore.delete(Category.BACKEND_SERVERS, "s1");
        mStore.compact();
        instance.mFeed.fault(Fault.NONE);
        mFixture.pass(2_200);
        assertThat(instance.mOutages).containsExactly("lost", "regained");
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
        mFixture.pass(3_000);
        assertThat(instance.servers()).containsExactly("s2");
    }

    @Property(tries = 60, seed = "20261202")
    void detectsUnresponsiveStoreByCheapProbesAndReceivesChangesSoonAfterRecovery(
            @ForAll @IntRange(max = 2_000) int phase, @ForAll @IntRange(max = 8_000) int more) {
        Instance instance = mFixture.start(Fault.NONE, true);
        mFixture.pass(10_000 + phase);
        instance.mFeed.fault(Fault.SILENT);
        mFixture.pass(2_050);
        assertThat(instance.mOutages).containsExactly("lost");
        mFixture.pass(more);
        mStore.server("s1", "leaving");
        instance.mFeed.fault(Fault.NONE);
        mFixture.pass(1_200);
        assertThat(instance.mOutages).containsExactly("lost", "regained");
        assertThat(instance.isLeaving("s1")).isTrue();
    }

    @Example
    void callsTheLostStoreAboutOncePerSecond() {
        Instance instance = mFixture.start();
        instance.mFeed.fault(Fault.REFUSED);
        mFixture.pass(2_000);
        int before = instance.mFeed.calls();
        mFixture.pass(20_000);
        assertThat(instance.mFeed.calls() - before).isBetween(18, 40);
    }

    @Example
    void keepsLastValidRoutesAndRemovesServersWithUnreadableDocuments() {
        Instance instance = mFixture.start();
        mStore.server("s1", "broken");
        mStore.put(Category.ROUTING, "main", JsonNodeFactory.instance.textNode("none"));
        mFixture.pass(500);
        assertThat(instance.servers()).containsExactly("s2");
        assertThat(instance.version()).isEqualTo(1);
        mStore.server("s1", "leaving");
        mFixture.pass(700);
        assertThat(instance.isLeaving("s1")).isTrue();
    }

    @Example
    void neverRevertsToLowerVersions() {
        Instance instance = mFixture.start();
        mStore.routing(7);
        mFixture.pass(500);
        mStore.routing(6);
        mFixture.pass(500);
        assertThat(instance.version()).isEqualTo(7);
    }

    @Example
    void measuresColdTimeFromTheNewestDocumentOnly() {
        Instance instance = mFixture.start();
        long beforeNanos = mFixture.mScheduler.time().monotonicNanos();
        mStore.server("s1", "cold:8");
        mFixture.pass(500);
        long coldUntil = instance.coldUntil("s1");
        assertThat(coldUntil - beforeNanos)
                .isBetween(Duration.ofSeconds(8).toNanos(), Duration.ofMillis(8_100).toNanos());
        mStore.compact();
        mFixture.pass(2_000);
        assertThat(instance.coldUntil("s1")).isEqualTo(coldUntil);
        mStore.server("s1", "cold:3");
        mFixture.pass(500);
        assertThat(instance.coldUntil("s1")).isLessThan(coldUntil);
    }
}
