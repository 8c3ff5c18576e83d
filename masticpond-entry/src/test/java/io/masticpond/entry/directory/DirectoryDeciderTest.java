package io.masticpond.entry.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

class DirectoryDeciderTest {

    private static final RegionId CASA = new RegionId("casa");
    private static final RegionId FES = new RegionId("fes");
    private static final ZoneId AIN = new ZoneId("casa-ain");
    private static final ZoneId BERN = new ZoneId("casa-bern");
    private static final ZoneId SIDI = new ZoneId("fes-sidi");

    private final List<PeerInstance> mAlive = new ArrayList<>();
    private final Set<InstanceId> mSuspects = new HashSet<>();
    private DirectorySettings mSettings = DirectorySettings.DEFAULT;

    private void add(int number, RegionId region, ZoneId zone, boolean ready) {
        ServerAddress entry = new ServerAddress("10.1.0." + number, 8000);
        ServerAddress internal = new ServerAddress("10.1.0." + number, 7000);
        mAlive.add(new PeerInstance(id(number), 1, zone, region, entry, internal, ready, 0));
    }

    private static InstanceId id(int number) {
        return new InstanceId("edge-" + number);
    }

    private List<Integer> named(RegionId region, ZoneId zone) {
        PeerView view =
                new PeerView() {
                    @Override
                    public List<PeerInstance> alive() {
                        return mAlive;
                    }

                    @Override
                    public Set<InstanceId> suspects() {
                        return mSuspects;
                    }

                    @Override
                    public int shareholders() {
                        return mAlive.size();
                    }
                };
        DirectoryAnswer answer = new DirectoryDecider(mSettings, view, id(1)).decide(region, zone);
        assertThat(answer.timeToLive()).isEqualTo(mSettings.timeToLive());
        return answer.addresses().stream()
                .map(address -> Integer.valueOf(address.ip().substring("10.1.0.".length())))
                .toList();
    }

    private void addSix() {
        add(1, CASA, AIN, true);
        add(2, CASA, AIN, true);
        add(3, CASA, BERN, true);
        add(4, CASA, BERN, true);
        add(5, FES, SIDI, true);
        add(6, FES, SIDI, true);
    }

    @Example
    void namesOwnZoneWhileItCanLoseOneInstance() {
        addSix();
        assertThat(named(CASA, AIN)).containsExactly(1, 2);
    }

    @Example
    void namesRegionIfZoneHasTooFewInstances() {
        addSix();
        mAlive.remove(1);
        assertThat(named(CASA, AIN)).containsExactly(1, 3, 4);
        assertThat(named(CASA, new ZoneId("casa-new"))).containsExactly(1, 3, 4);
    }

    @Example
    void namesOtherRegionsOnlyWhileNoInstanceOfOwnRegionIsReady() {
        add(1, CASA, AIN, false);
        add(2, CASA, BERN, true);
        add(5, FES, SIDI, true);
        assertThat(named(CASA, AIN)).containsExactly(2);
        mAlive.remove(1);
        assertThat(named(CASA, AIN)).containsExactly(5);
    }

    @Example
    void namesHealthyInstancesOfOtherRegionsBesideSuspectRegion() {
        add(2, CASA, BERN, true);
        add(5, FES, SIDI, true);
        add(6, FES, SIDI, false);
        mSuspects.add(id(2));
        assertThat(named(CASA, AIN)).containsExactly(2, 5);
        assertThat(named(FES, SIDI)).containsExactly(5);
        mSuspects.add(id(5));
        assertThat(named(CASA, AIN)).containsExactly(2);
        assertThat(named(FES, SIDI)).containsExactly(5);
        mSuspects.clear();
        assertThat(named(CASA, AIN)).containsExactly(2);
    }

    @Example
    void doesNotNameSuspectWhileOthersOfItsRegionAreHealthy() {
        addSix();
        mSuspects.add(id(1));
        assertThat(named(CASA, AIN)).containsExactly(2, 3, 4);
        mSuspects.addAll(Set.of(id(2), id(3), id(4)));
        assertThat(named(CASA, AIN)).containsExactly(1, 2, 3, 4, 5, 6);
        mSuspects.addAll(Set.of(id(5), id(6)));
        assertThat(named(CASA, AIN)).containsExactly(1, 2);
    }

    @Example
    void instanceWithoutPeersNamesItselfOnlyIfReady() {
        add(1, CASA, AIN, true);
        assertThat(named(FES, SIDI)).containsExactly(1);
        mAlive.clear();
        add(1, CASA, AIN, false);
        assertThat(named(CASA, AIN)).isEmpty();
    }

    @Example
    void namesWholeRegionIfConfigured() {
        addSix();
        mSettings = new DirectorySettings(Duration.ofSeconds(2), 2, true, 64);
        assertThat(named(CASA, AIN)).containsExactly(1, 2, 3, 4);
    }

    @Example
    void answerIsLimitedToTheSameInstancesEachTime() {
        for (int number = 1; number <= 100; number++) {
            add(number, CASA, AIN, true);
        }
        List<Integer> first = named(CASA, AIN);
        assertThat(first).hasSize(64).doesNotHaveDuplicates();
        assertThat(named(CASA, AIN)).isEqualTo(first);
    }

    @Example
    void boundShortensTimeToLiveButNeverLengthensIt() {
        DirectorySettings settings = DirectorySettings.DEFAULT;
        assertThat(settings.within(Duration.ofSeconds(9)).timeToLive())
                .isEqualTo(settings.timeToLive());
        assertThat(settings.within(Duration.ofMillis(500)).timeToLive())
                .isEqualTo(Duration.ofMillis(500));
    }
}
