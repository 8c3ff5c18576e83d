package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.replica.FakeStore.Fault;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import io.masticpond.protocol.generated.relay.RelayAsk;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against changes that arrive late when two instances of a zone watch the store for the
 * others and any of them, their connections or the store fail.
 */
class StoreRelayTest {

    private static final int COUNT = 6;
    private static final int WATCHERS = 2;

    /** The shortest bound that operators set for a leaving backend server. */
    private static final long BOUND_MILLIS = 2_000;

    private ReplicaFixture mFixture;
    private FakeStore mStore;
    private List<Instance> mAll;

    private void createFixture() {
        mFixture = new ReplicaFixture();
        mStore = mFixture.mStore;
    }

    private void startZone() {
        createFixture();
        mAll = mFixture.startSharing(COUNT, WATCHERS);
        mFixture.pass(3_000);
    }

    private static boolean isWatching(Instance instance) {
        return instance.mReplica.relaySource().answer(RelayAsk.getDefaultInstance()).getWatches();
    }

    private List<Instance> watchers() {
        return mAll.stream().filter(StoreRelayTest::isWatching).toList();
    }

    private List<Instance> others() {
        return mAll.stream().filter(instance -> !isWatching(instance)).toList();
    }

    private int calls() {
        return mAll.stream().mapToInt(instance -> instance.mFeed.calls()).sum();
    }

    private void assertAllReceiveLeaving(String server, List<Instance> instances) {
        mStore.server(server, "leaving");
        mFixture.pass(300);
        assertThat(instances).allMatch(instance -> instance.isLeaving(server));
    }

    @Example
    void twoInstancesWatchAndAllReceiveChangesWithin300Milliseconds() {
        startZone();
        assertThat(watchers()).hasSize(WATCHERS);
        int before = calls();
        mStore.server("s1", "leaving");
        mStore.delete(Category.BACKEND_SERVERS, "s2");
        mStore.routing(7);
        mStore.put(Category.EVACUATIONS, "zone-b", JsonNodeFactory.instance.objectNode());
        mFixture.pass(300);
        assertThat(mAll).allMatch(instance -> instance.isLeaving("s1"));
        assertThat(mAll).allMatch(instance -> instance.version() == 7);
        assertThat(mAll).allMatch(instance -> instance.servers().size() == 1);
        assertThat(mAll)
                .allMatch(
                        instance ->
                                instance.mReplica
                                        .snapshot()
                                        .evacuatedZones()
                                        .contains(new ZoneId("zone-b")));
        assertThat(others()).allMatch(instance -> instance.mFeed.calls() == 6);
        // Two watchers, three changed categories, one of them with two updates.
        assertThat(calls() - before).isLessThanOrEqualTo(WATCHERS * 4);
    }

    @Example
    void snapshotStatesItsSource() {
        startZone();
        assertAllReceiveLeaving("s1", mAll);
        assertThat(watchers())
                .hasSize(WATCHERS)
                .allMatch(instance -> instance.newestSource() == CopySource.STORE);
        assertThat(others())
                .hasSize(COUNT - WATCHERS)
                .allMatch(instance -> instance.newestSource() == CopySource.PEER);
    }

    @Example
    void followersMakeNoCallsWhileNothingChanges() {
        startZone();
        List<Instance> others = others();
        int before = others.stream().mapToInt(instance -> instance.mFeed.calls()).sum();
        mFixture.pass(600_000);
        assertThat(others()).isEqualTo(others);
        assertThat(others.stream().mapToInt(instance -> instance.mFeed.calls()).sum())
                .isEqualTo(before);
    }

    @Example
    void allInstancesOfSmallZoneWatch() {
        createFixture();
        mAll = mFixture.startSharing(WATCHERS, WATCHERS);
        mFixture.pass(10_000);
        assertThat(watchers()).hasSize(WATCHERS);
        assertThat(mAll).allMatch(instance -> instance.mRequestedPeers.isEmpty());
    }

    @Example
    void allInstancesWatchWhenSharingIsDisabled() {
        createFixture();
        mAll = mFixture.startSharing(COUNT, 0);
        mFixture.pass(10_000);
        assertThat(watchers()).hasSize(COUNT);
    }

    @Property(tries = 40, seed = "20261203")
    void lossOfOneWatcherCausesNoDelay(
            @ForAll @IntRange(max = 2) int kind, @ForAll @IntRange(max = 2_500) int phase) {
        startZone();
        mFixture.pass(phase);
        Instance failed = watchers().get(0);
        List<Instance> healthy = mAll.stream().filter(instance -> instance != failed).toList();
        if (kind == 0) {
            failed.killRelay();
        } else if (kind == 1) {
            failed.mRelayFault = Fault.SILENT;
        } else {
            failed.mFeed.dropEvents(true);
        }
        mStore.server("s1", "leaving");
        mFixture.pass(300);
        assertThat(healthy).allMatch(instance -> instance.isLeaving("s1"));
    }

    @Property(tries = 40, seed = "20261204")
    void recoversFromLossOfAllWatchersWithinTheBound(
            @ForAll @IntRange(max = 2) int kind, @ForAll @IntRange(max = 2_500) int phase) {
        startZone();
        mFixture.pass(phase);
        List<Instance> failed = watchers();
        List<Instance> others = others();
        assertThat(others).hasSize(COUNT - WATCHERS);
        for (Instance watcher : failed) {
            if (kind == 0) {
                watcher.killRelay();
            } else if (kind == 1) {
                watcher.mRelayFault = Fault.SILENT;
            } else {
                watcher.mFeed.fault(Fault.REFUSED);
            }
        }
        mStore.server("s1", "leaving");
        mFixture.pass(BOUND_MILLIS);
        assertThat(others).allMatch(instance -> instance.isLeaving("s1"));
        assertThat(others).allMatch(instance -> instance.mOutages.isEmpty());
    }

    @Example
    void abandonsWatchersWithDeadWatchesWhenPeersAreAhead() {
        startZone();
        List<Instance> others = others();
        Instance elsewhere = mFixture.start();
        elsewhere.mReady = false;
        mFixture.pass(2_000);
        watchers().stream()
                .filter(instance -> instance != elsewhere)
                .forEach(instance -> instance.mFeed.dropEvents(true));
        mStore.server("s1", "leaving");
        mFixture.pass(2_500);
        assertThat(others).allMatch(instance -> instance.isLeaving("s1"));
    }

    @Property(tries = 20, seed = "20261205")
    void plannedStopHandsOverFirst(@ForAll @IntRange(max = 1_000) int phase) {
        startZone();
        mFixture.pass(phase);
        List<Instance> leaving = watchers();
        List<Instance> others = others();
        // Heartbeats have not reported the stop yet, and the leaving instances receive no further
        // changes.
        leaving.forEach(
                instance -> {
                    instance.mReplica.leave();
                    instance.mFeed.dropEvents(true);
                });
        assertAllReceiveLeaving("s1", others);
        leaving.forEach(instance -> instance.mReady = false);
        mFixture.pass(10_000);
        assertThat(others.stream().filter(StoreRelayTest::isWatching)).hasSize(WATCHERS);
    }

    @Example
    void noInstanceWatchesDuringAnOutageAndSharingResumesAfterwards() {
        startZone();
        mAll.forEach(instance -> instance.mFeed.fault(Fault.REFUSED));
        mFixture.pass(6_000);
        assertThat(watchers()).isEmpty();
        assertThat(mAll).allMatch(instance -> instance.mOutages.equals(List.of("lost")));
        mStore.delete(Category.BACKEND_SERVERS, "s1");
        mAll.forEach(instance -> instance.mFeed.fault(Fault.NONE));
        mFixture.pass(1_500);
        assertThat(mAll).allMatch(instance -> instance.servers().size() == 2);
        mFixture.pass(10_000);
        assertThat(mAll).allMatch(instance -> instance.servers().size() == 1);
        assertThat(watchers()).hasSize(WATCHERS);
        assertAllReceiveLeaving("s2", mAll);
    }

    @Example
    void watcherThatIsBehindRevertsNothing() {
        startZone();
        Instance behind = watchers().get(0);
        behind.mFeed.dropEvents(true);
        assertAllReceiveLeaving(
                "s1", mAll.stream().filter(instance -> instance != behind).toList());
        assertThat(behind.isLeaving("s1")).isFalse();
        mFixture.pass(1_000);
        assertThat(others()).allMatch(instance -> instance.isLeaving("s1"));
    }

    @Example
    void newWatcherReportsWatchingOnlyAfterTheStoreHasAnswered() {
        startZone();
        Instance other = others().get(0);
        other.mFeed.fault(Fault.SILENT);
        watchers().forEach(Instance::killRelay);
        mFixture.pass(100);
        assertThat(isWatching(other)).isFalse();
        other.mFeed.fault(Fault.NONE);
        mFixture.pass(3_000);
        assertThat(isWatching(other)).isTrue();
    }

    @Example
    void selectsOtherWatchersWhenReadyInstancesChange() {
        startZone();
        List<Instance> first = watchers();
        first.forEach(instance -> instance.mReady = false);
        mFixture.pass(8_000);
        first.forEach(instance -> instance.mReady = true);
        mFixture.pass(8_000);
        assertThat(watchers()).hasSize(WATCHERS);
        assertAllReceiveLeaving("s1", mAll);
    }
}
