package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against changes that are not in force in time since the watch that should report them has
 * gone silent, while other connections to the store work.
 */
class SilentWatchTest {

    /** Bound of configurations and leaving servers, the shortest that operators set. */
    private static final long BOUND_MILLIS = 2_000;

    /** Bound of evacuations in the default settings. */
    private static final long EVACUATION_MILLIS = 3_000;

    private static final int COUNT = 6;

    private ReplicaFixture mFixture;
    private FakeStore mStore;
    private List<Instance> mAll;

    private void start(int count, int watchers) {
        mFixture = new ReplicaFixture();
        mStore = mFixture.mStore;
        mAll = mFixture.startVerifying(count, watchers);
        mFixture.pass(4_000);
    }

    private int calls() {
        return mAll.stream().mapToInt(instance -> instance.mFeed.calls()).sum();
    }

    private void assertChangesInForceWithinBounds() {
        mStore.routing(7);
        mStore.server("s1", "leaving");
        mStore.put(Category.EVACUATIONS, "zone-b", JsonNodeFactory.instance.objectNode());
        mFixture.pass(BOUND_MILLIS);
        assertThat(mAll).allMatch(instance -> instance.version() == 7);
        assertThat(mAll).allMatch(instance -> instance.isLeaving("s1"));
        mFixture.pass(EVACUATION_MILLIS - BOUND_MILLIS);
        assertThat(mAll)
                .allMatch(
                        instance ->
                                instance.mReplica
                                        .snapshot()
                                        .evacuatedZones()
                                        .contains(new ZoneId("zone-b")));
    }

    /**
     * Guards against watches of all instances that go silent at once, so that no instance knows of
     * the change.
     */
    @Property(tries = 40, seed = "63")
    void allWatchesThatGoSilentDelayNoChangePastItsBound(
            @ForAll @IntRange(max = 5_000) int beforeMillis) {
        start(COUNT, 0);
        mAll.forEach(instance -> instance.mFeed.dropWatches());
        mFixture.pass(beforeMillis);
        assertChangesInForceWithinBounds();
    }

    /**
     * Guards against a revision learnt by the watch of another kind that passes for news of this.
     */
    @Property(tries = 20, seed = "63")
    void aSilentWatchIsReplacedAlthoughOtherKindsChange(
            @ForAll @IntRange(max = 5_000) int beforeMillis, @ForAll @IntRange(max = 5) int index) {
        start(COUNT, 0);
        mAll.get(index).mFeed.dropWatch(Category.ROUTING);
        for (int passed = 0; passed < beforeMillis; passed += 700) {
            mFixture.pass(700);
            mStore.server("rolled-" + passed, "ready");
        }
        mStore.routing(7);
        for (int passed = 0; passed < BOUND_MILLIS; passed += 500) {
            mFixture.pass(500);
            mStore.server("rolling-" + passed, "ready");
        }
        assertThat(mAll.get(index).version()).isEqualTo(7);
    }

    /** Guards against an instance that relies on watchers whose own watches are silent. */
    @Property(tries = 20, seed = "63")
    void silentWatchesOfZoneWatchersDelayNoChangePastItsBound(
            @ForAll @IntRange(max = 5_000) int beforeMillis) {
        start(COUNT, 2);
        mAll.forEach(instance -> instance.mFeed.dropWatches());
        mFixture.pass(beforeMillis);
        assertChangesInForceWithinBounds();
    }

    /**
     * Guards against an instance without peers that takes the probe of the store for its watches.
     */
    @Property(tries = 20, seed = "63")
    void aSingleInstanceFindsItsSilentWatches(@ForAll @IntRange(max = 5_000) int beforeMillis) {
        start(1, 0);
        mAll.get(0).mFeed.dropWatches();
        mFixture.pass(beforeMillis);
        assertChangesInForceWithinBounds();
    }

    /** Guards against a replacement that is trusted: its watch goes silent as well. */
    @Example
    void watchesThatGoSilentAgainAndAgainDelayNoChangePastItsBound() {
        start(COUNT, 0);
        for (int version = 11; version <= 20; version++) {
            mAll.forEach(instance -> instance.mFeed.dropWatches());
            mStore.routing(version);
            mFixture.pass(BOUND_MILLIS);
            long expected = version;
            assertThat(mAll).allMatch(instance -> instance.version() == expected);
        }
    }

    /** Guards against the first instance of the order being the one that cannot read. */
    @Example
    void anInstanceThatCannotReadIsReplacedAsReaderWithinTheBound() {
        start(COUNT, 0);
        mAll.get(0).mFeed.fault(FakeStore.Fault.SILENT);
        List<Instance> others = mAll.subList(1, COUNT);
        others.forEach(instance -> instance.mFeed.dropWatches());
        mStore.routing(7);
        mFixture.pass(BOUND_MILLIS);
        assertThat(others).allMatch(instance -> instance.version() == 7);
    }

    /** Guards against a history that is gone by the time at which the silent watch is found. */
    @Example
    void aSilentWatchIsReplacedByListIfTheHistoryIsGone() {
        start(COUNT, 0);
        mAll.forEach(instance -> instance.mFeed.dropWatches());
        mStore.routing(7);
        mStore.compact();
        mFixture.pass(BOUND_MILLIS);
        assertThat(mAll).allMatch(instance -> instance.version() == 7);
    }

    /** Guards against an outage that is reported since one connection is silent. */
    @Example
    void aSilentWatchIsNotTakenForLostStore() {
        start(COUNT, 0);
        mAll.forEach(instance -> instance.mFeed.dropWatches());
        mFixture.pass(40_000);
        assertThat(mAll).allMatch(instance -> instance.mOutages.isEmpty());
        assertThat(mAll).allMatch(instance -> instance.mReplica.status().callsGivenUp() == 3);
    }

    /** Guards against verification that costs calls in proportion to the instances. */
    @Property(tries = 5, seed = "63")
    void calmInstancesVerifyWithAsManyCallsAsOneAlone(@ForAll @IntRange(min = 1, max = 12) int n) {
        start(n, 0);
        int before = calls();
        mFixture.pass(60_000);
        // Two kinds each second, the third each two seconds, a watch of each kind each 30 s, and
        // a probe of each instance each second.
        assertThat(calls() - before).isLessThanOrEqualTo(150 + 60 * n + 6 * n);
    }

    /** Guards against a slow store that receives ever more watches for changes it reports late. */
    @Example
    void aStoreWhoseWatchesReportNothingIsNotFloodedWithReplacements() {
        start(COUNT, 0);
        mAll.forEach(instance -> instance.mFeed.dropEvents(true));
        int before = calls();
        mStore.routing(7);
        mFixture.pass(10_000);
        assertThat(calls() - before).isLessThanOrEqualTo(COUNT * 60);
    }
}
