package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.masticpond.core.freshness.FreshnessProof;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against changes that are missed or reverted when the store is restored from an older copy.
 */
class StoreRestoreTrackerTest {

    /** The time within which all writers have written again. */
    private static final long REWRITE_MILLIS = 1_500;

    private ReplicaFixture mFixture;
    private FakeStore mStore;

    @BeforeTry
    void createFixture() {
        mFixture = new ReplicaFixture();
        mStore = mFixture.mStore;
    }

    private static Set<String> evacuated(Instance instance) {
        return instance.mReplica.snapshot().evacuatedZones().stream()
                .map(ZoneId::value)
                .collect(Collectors.toSet());
    }

    private void evacuate(String zone) {
        mStore.put(Category.EVACUATIONS, zone, JsonNodeFactory.instance.objectNode());
    }

    @Example
    void appliesVersionOfTheNewEraWithReusedRevision() {
        Instance instance = mFixture.start(FakeStore.Fault.NONE, true);
        mFixture.pass(100);
        mStore.saveCopy();
        mStore.routing(5);
        mFixture.pass(500);
        for (boolean cuts : List.of(true, false)) {
            mStore.restoreCopy(cuts);
            mFixture.pass(3_000);
            assertThat(instance.version()).as("is not reverted").isEqualTo(cuts ? 5 : 6);
            mStore.routing(cuts ? 6 : 7);
            mFixture.pass(300);
            assertThat(instance.version()).isEqualTo(cuts ? 6 : 7);
        }
    }

    @Example
    void keepsCurrentStateUntilWritersHaveWrittenAgain() {
        Instance instance = mFixture.start();
        evacuate("ended");
        mStore.server("left", "ready");
        mFixture.pass(500);
        mStore.saveCopy();
        mStore.delete(Category.EVACUATIONS, "ended");
        mStore.delete(Category.BACKEND_SERVERS, "left");
        evacuate("lost");
        mStore.server("new", "ready");
        mFixture.pass(500);
        mStore.restoreCopy(true);
        mFixture.pass(1_000);
        assertThat(evacuated(instance)).containsExactly("lost");
        assertThat(instance.servers()).contains("new").doesNotContain("left");
        mStore.delete(Category.EVACUATIONS, "ended");
        evacuate("lost");
        mStore.server("new", "ready");
        mFixture.pass(3_000);
        assertThat(evacuated(instance)).containsExactly("lost");
        assertThat(instance.servers()).contains("new").doesNotContain("left");
    }

    @Example
    void acceptsTheStoresStateForDocumentsNotWrittenAgain() {
        Instance instance = mFixture.start();
        evacuate("ended");
        mStore.server("left", "ready");
        mFixture.pass(500);
        mStore.saveCopy();
        mStore.delete(Category.EVACUATIONS, "ended");
        mStore.delete(Category.BACKEND_SERVERS, "left");
        mStore.server("new", "ready");
        mFixture.pass(500);
        mStore.restoreCopy(true);
        mFixture.pass(4_000);
        assertThat(evacuated(instance)).as("no writer ended it again").containsExactly("ended");
        assertThat(instance.servers())
                .as("a server that has left does not write, its entry expires")
                .doesNotContain("left", "new");
        mFixture.pass(4_000);
        assertThat(instance.servers()).as("its entry did not expire").contains("left");
    }

    @Example
    void appliesWritesOfTheNewEraAtOnce() {
        Instance instance = mFixture.start();
        mStore.saveCopy();
        evacuate("again");
        mFixture.pass(500);
        mStore.delete(Category.EVACUATIONS, "again");
        mFixture.pass(500);
        mStore.restoreCopy(true);
        mFixture.pass(1_000);
        evacuate("again");
        mFixture.pass(300);
        assertThat(evacuated(instance)).containsExactly("again");
        mStore.delete(Category.EVACUATIONS, "again");
        mFixture.pass(300);
        assertThat(evacuated(instance)).isEmpty();
    }

    @Example
    void isolatedInstanceNeitherRevertsOthersNorStaysBehind() {
        Instance cut = mFixture.start();
        Instance other = mFixture.start();
        mStore.saveCopy();
        mStore.routing(5);
        mFixture.pass(500);
        cut.mFeed.fault(FakeStore.Fault.SILENT);
        mFixture.pass(2_000);
        mStore.restoreCopy(true);
        mStore.routing(6);
        mFixture.pass(6_000);
        assertThat(other.version()).isEqualTo(6);
        assertThat(cut.version()).as("received from its peer").isEqualTo(6);
        int calls = other.mFeed.calls();
        mFixture.pass(5_000);
        assertThat(other.mFeed.calls() - calls)
                .as("checks for a revision that no longer exists")
                .isLessThan(12);
    }

    @Example
    void instanceStartedAfterRestoreAppliesTheNewestVersionOfItsPeers() {
        List<Instance> zone = mFixture.startSharing(3, 2);
        mFixture.pass(2_000);
        mStore.saveCopy();
        mStore.routing(5);
        mFixture.pass(1_000);
        mStore.restoreCopy(true);
        mFixture.pass(500);
        Instance started = mFixture.startSharing(1, 2).get(0);
        mFixture.pass(800);
        assertThat(zone).allMatch(each -> each.version() == 5);
        assertThat(started.version()).isEqualTo(5);
    }

    @Example
    void readOfTheNewEraIsNoProofUntilWritersHaveWrittenAgain() {
        Instance instance = mFixture.start();
        List<FreshnessProof> proofs = new ArrayList<>();
        instance.mReplica.routingReader().setProofListener(proofs::add);
        mStore.saveCopy();
        mStore.routing(5);
        mFixture.pass(500);
        mStore.restoreCopy(true);
        mFixture.pass(300);
        proofs.clear();
        instance.mReplica.routingReader().read(isRead -> {});
        mFixture.pass(100);
        assertThat(proofs).isEmpty();
        mFixture.pass(3_000);
        instance.mReplica.routingReader().read(isRead -> {});
        mFixture.pass(100);
        assertThat(proofs).hasSize(1);
        assertThat(proofs.get(0).revision())
                .as("the proof covers the configuration in force")
                .isLessThanOrEqualTo(instance.mReplica.routingReader().revisionInForce());
    }

    private List<FreshnessProof> proofsAtStart(long newestEraOfOthers, long millis) {
        Instance started = mFixture.start(FakeStore.Fault.NONE, false);
        List<FreshnessProof> proofs = new ArrayList<>();
        started.mReplica.routingReader().setProofListener(proofs::add);
        mFixture.pass(20);
        started.mReplica.restoreTracker().instancesListed(newestEraOfOthers);
        if (millis > 0) {
            mFixture.pass(millis);
            started.mReplica.routingReader().read(isRead -> {});
            mFixture.pass(20);
        }
        return proofs;
    }

    @Example
    void startingInstanceAcceptsNoReadAsProofUntilWritersHaveWrittenAgain() {
        mStore.restoreCopy(true);
        assertThat(proofsAtStart(0, 1_000)).as("others have settled before the restore").isEmpty();
        assertThat(proofsAtStart(0, 3_000)).as("after its own settling time").isNotEmpty();
        assertThat(proofsAtStart(1, 0)).as("others have settled since").isNotEmpty();
        assertThat(proofsAtStart(StoreRestoreTracker.UNREPORTED, 0))
                .as("the first instance of all")
                .isNotEmpty();
    }

    @Example
    void notifiesSettledListenerAtTheStartAndAfterEachRestore() {
        Instance instance = mFixture.start(FakeStore.Fault.NONE, false);
        List<Long> eras = new ArrayList<>();
        instance.mReplica
                .restoreTracker()
                .addSettledListener((era, settledBeforeStart) -> eras.add(era));
        mFixture.pass(20);
        instance.mReplica.restoreTracker().instancesListed(StoreRestoreTracker.UNREPORTED);
        assertThat(eras).containsExactly(0L);
        mStore.saveCopy();
        mStore.restoreCopy(true);
        mFixture.pass(1_500);
        assertThat(eras).hasSize(1);
        mFixture.pass(3_000);
        assertThat(eras).containsExactly(0L, 1L);
    }

    /** Events of a step. */
    enum Step {
        CONFIGURE,
        EVACUATE,
        END_EVACUATION,
        REGISTER,
        UNREGISTER,
        SAVE_COPY,
        RESTORE,
        RESTORE_SILENTLY,
        DROP_HISTORY,
        ISOLATE_FIRST,
        HEAL,
        WAIT
    }

    /** The last writes of the operator and the servers, which are repeated after a restore. */
    private final class Writers {

        private final Set<String> mZones = new TreeSet<>();
        private final Set<String> mServers = new TreeSet<>(Set.of("s1", "s2"));
        private long mVersion = 1;
        private boolean mIsRestored;

        void play(Step step, int number, List<Instance> instances) {
            String name = "n" + number % 3;
            switch (step) {
                case CONFIGURE -> mStore.routing(++mVersion);
                case EVACUATE -> {
                    mZones.add(name);
                    evacuate(name);
                }
                case END_EVACUATION -> {
                    mZones.remove(name);
                    mStore.delete(Category.EVACUATIONS, name);
                }
                case REGISTER -> {
                    mServers.add(name);
                    mStore.server(name, "ready");
                }
                case UNREGISTER -> {
                    mServers.remove(name);
                    mStore.delete(Category.BACKEND_SERVERS, name);
                }
                case SAVE_COPY -> mStore.saveCopy();
                case RESTORE, RESTORE_SILENTLY -> {
                    mStore.restoreCopy(step == Step.RESTORE);
                    mIsRestored = true;
                }
                case DROP_HISTORY -> mStore.compact();
                case ISOLATE_FIRST -> instances.get(0).mFeed.fault(FakeStore.Fault.SILENT);
                case HEAL -> instances.get(0).mFeed.fault(FakeStore.Fault.NONE);
                default -> {}
            }
        }

        /** Writes everything again, as writers do that have noticed the restore. */
        void writeAgain() {
            if (!mIsRestored) {
                return;
            }
            mIsRestored = false;
            mStore.routing(mVersion);
            for (String name : List.of("n0", "n1", "n2", "s1", "s2")) {
                if (mZones.contains(name)) {
                    evacuate(name);
                } else {
                    mStore.delete(Category.EVACUATIONS, name);
                }
                if (mServers.contains(name)) {
                    mStore.server(name, "ready");
                } else {
                    mStore.delete(Category.BACKEND_SERVERS, name);
                }
            }
        }
    }

    @Property(seed = "20261203", tries = 300)
    void noVersionIsRevertedAndTheLastWritesApply(
            @ForAll @Size(min = 4, max = 16) List<Step> steps) {
        mStore.saveCopy();
        List<Instance> instances = new ArrayList<>(mFixture.startSharing(3, 1));
        mFixture.pass(1_500);
        Writers writers = new Writers();
        int number = 0;
        for (Step step : steps) {
            writers.play(step, number++, instances);
            mFixture.pass(number % 4 == 0 ? REWRITE_MILLIS : 150);
            writers.writeAgain();
            mFixture.pass(100);
        }
        instances.get(0).mFeed.fault(FakeStore.Fault.NONE);
        mFixture.pass(12_000);
        for (Instance instance : instances) {
            assertThat(instance.version()).isEqualTo(writers.mVersion);
            assertThat(evacuated(instance)).isEqualTo(writers.mZones);
            assertThat(instance.servers()).isEqualTo(writers.mServers);
            long before = 0;
            for (var snapshot : instance.mSnapshots) {
                long version = snapshot.routing().map(routing -> routing.version()).orElse(0L);
                assertThat(version).as("in one lifetime").isGreaterThanOrEqualTo(before);
                before = version;
            }
        }
    }
}
