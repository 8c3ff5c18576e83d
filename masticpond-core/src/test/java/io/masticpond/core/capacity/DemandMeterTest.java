package io.masticpond.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.ServiceId;
import java.util.Map;
import net.jqwik.api.Example;
import org.assertj.core.data.Offset;

/** Guards against reports that are too long, lose demand, or name services without load control. */
class DemandMeterTest {

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final long SECOND = 1_000_000_000L;

    private DemandDetail mDetail = DemandDetail.WORKSPACES;
    private final DemandMeter mMeter = new DemandMeter((service, now) -> mDetail);

    @Example
    void largestWorkspacesAreListedAndTheRestIsOneGroup() {
        for (int workspace = 1; workspace <= 30; workspace++) {
            for (int request = 0; request < workspace; request++) {
                mMeter.arrived(key(workspace), SECOND);
            }
        }
        Map<DemandKey, Demand> report = mMeter.demand(SECOND);
        assertThat(report).hasSize(21).containsKeys(key(30), key(11), key(0));
        assertThat(report.get(key(0)).perSecond()).isEqualTo(55, Offset.offset(1e-6));
        mDetail = DemandDetail.TOTALS;
        assertThat(mMeter.demand(SECOND)).containsOnlyKeys(key(0));
        mDetail = DemandDetail.NONE;
        assertThat(mMeter.demand(SECOND)).isEmpty();
    }

    @Example
    void steadyRateIsMeasuredAndForgottenAfterTheLastRequest() {
        for (int request = 0; request < 30; request++) {
            mMeter.arrived(key(1), request * SECOND / 3);
        }
        assertThat(mMeter.perSecond(key(1), 10 * SECOND)).isBetween(2.0, 4.0);
        assertThat(mMeter.demand(20 * SECOND)).isEmpty();
    }

    private static DemandKey key(int workspace) {
        return new DemandKey(SERVICE, 1, new WorkspaceHash(workspace));
    }
}
