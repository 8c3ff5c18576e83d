package io.masticpond.measure.drain;

import io.masticpond.testing.backend.BackendServerFaults;
import io.masticpond.testing.backend.BackendServerFaults.HealthClaim;
import io.masticpond.testing.backend.DrainPlan;

/** Ways in which a backend server announces that it leaves, some of them late or misleading. */
enum DrainKind {
    CONFIGURATION("marked by operators, says nothing itself", noSignals(), 0, 0),
    ALL_SIGNS("health and header at once", new DrainPlan(0, 0, DrainPlan.NEVER), 0, 0),
    HEALTH("health only", new DrainPlan(0, DrainPlan.NEVER, DrainPlan.NEVER), 0, 0),
    OLD_HEALTH(
            "health only, 500 ms old", new DrainPlan(0, DrainPlan.NEVER, DrainPlan.NEVER), 500, 0),
    LYING_HEADER("health claims to be well, header", new DrainPlan(0, 0, DrainPlan.NEVER), 0, 0),
    LYING_CLOSE("health claims to be well, closes", new DrainPlan(-1, -1, 0), 0, 0),
    LATE("all signs 1.5 s late", new DrainPlan(1_500, 1_500, 1_500), 0, 1_500),
    LATE_HEADER(
            "header 1 s late", new DrainPlan(DrainPlan.NEVER, 1_000, DrainPlan.NEVER), 0, 1_000);

    private final String mTitle;
    private final DrainPlan mPlan;
    private final long mReportLagMillis;
    private final long mFirstSignalMillis;

    DrainKind(String title, DrainPlan plan, long reportLagMillis, long firstSignalMillis) {
        mTitle = title;
        mPlan = plan;
        mReportLagMillis = reportLagMillis;
        mFirstSignalMillis = firstSignalMillis;
    }

    String title() {
        return mTitle;
    }

    DrainPlan plan() {
        return mPlan;
    }

    /** Returns when the first signal is visible, in milliseconds after the start of the drain. */
    long firstSignalMillis() {
        return mFirstSignalMillis;
    }

    boolean isMarkedByOperators() {
        return this == CONFIGURATION;
    }

    BackendServerFaults faults() {
        boolean misleading = this == LYING_HEADER || this == LYING_CLOSE;
        HealthClaim claim = misleading ? HealthClaim.HEALTHY : HealthClaim.TRUE;
        return new BackendServerFaults(claim, mReportLagMillis, false, false, 0, 0, 0, 0, 1);
    }

    private static DrainPlan noSignals() {
        return new DrainPlan(DrainPlan.NEVER, DrainPlan.NEVER, DrainPlan.NEVER);
    }
}
