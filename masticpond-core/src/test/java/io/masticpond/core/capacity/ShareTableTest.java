package io.masticpond.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.assertj.core.data.Offset;

/** Guards against shares that rely on reports which are missing, too old or from few instances. */
class ShareTableTest {

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final ZoneId OWN = new ZoneId("own");
    private static final ZoneId OTHER = new ZoneId("other");
    private static final ShareTable.Group GROUP = new ShareTable.Group(1, new WorkspaceHash(7));
    private static final Offset<Double> CLOSE = Offset.offset(1e-6);

    private int mReported = 3;
    private int mSending = 4;
    private long mAge;
    private Demand mOthers = new Demand(100, 50);

    @Example
    void zonesShareEquallyAndPartIsThatOfTheZone() {
        ShareTable shares = compute(80, 50);
        assertThat(shares.shareByZone().get(OTHER)).isEqualTo(40, CLOSE);
        assertThat(shares.part(GROUP)).isEqualTo(0.8, CLOSE);
        assertThat(shares.advantage()).as("50 for a share of 40 each").isZero();
    }

    @Example
    void zoneThatGetsLessOfItsShareRestrainsTheOthers() {
        mOthers = new Demand(70, 20);
        assertThat(compute(80, 50).advantage()).as("20 against 50").isEqualTo(0.6, CLOSE);
        mOthers = new Demand(81, 20);
        assertThat(compute(80, 50).advantage()).as("more than the service can do").isZero();
    }

    @Example
    void capacityOfInstancesWithoutReportsStaysReserved() {
        mReported = 0;
        assertThat(compute(80, 50).part(GROUP)).isEqualTo(20.0 / 50, CLOSE);
        mReported = 1;
        assertThat(compute(80, 50).part(GROUP)).isEqualTo(20.0 / 50, CLOSE);
    }

    @Example
    void oldReportsCountAsMissing() {
        mAge = 1_300_000_000L;
        ShareTable shares = compute(80, 50);
        assertThat(shares.part(GROUP)).isEqualTo(20.0 / 50, CLOSE);
        assertThat(shares.demandByZone()).containsOnlyKeys(OWN);
    }

    @Example
    void zoneBelowItsEqualPartIsMetWhateverTheOthersReport() {
        mOthers = new Demand(6_553.5, 0);
        assertThat(compute(80, 39).part(GROUP)).isEqualTo(1);
    }

    private ShareTable compute(double capacity, double own) {
        return ShareTable.compute(
                capacity,
                Map.of(1, Map.of(GROUP.workspace(), new Demand(own, own))),
                Set.of(1, 2),
                new ShareTable.Inputs(SERVICE, OWN, new Reports(), workspace -> 1, 0));
    }

    /** Reports of one other zone. */
    private final class Reports implements FleetDemand {

        @Override
        public Map<ZoneId, Demand> byZone(ServiceId service, int priority, long nowNanos) {
            return priority == 1 ? Map.of(OTHER, mOthers) : Map.of();
        }

        @Override
        public Map<WorkspaceHash, Demand> byWorkspaceInOwnZone(
                ServiceId service, int priority, long nowNanos) {
            return Map.of();
        }

        @Override
        public int reportedInstances(long nowNanos) {
            return mReported;
        }

        @Override
        public int sendingInstances() {
            return mSending;
        }

        @Override
        public long ageNanos(long nowNanos) {
            return mAge;
        }
    }
}
