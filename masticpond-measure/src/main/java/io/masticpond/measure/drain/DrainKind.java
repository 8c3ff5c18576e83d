package io.masticpond.measure.drain;

import io.masticpond.testing.backend.BackendServerFaults;
import io.masticpond.testing.backend.BackendServerFaults.HealthClaim;
import io.masticpond.testing.backend.DrainPlan;

/** The ways in which a backend server that leaves announces it, or does not. */
enum DrainKind {
    CONFIGURATION("marked by operators, says nothing itself", never(), 0, 0),
    ALL_SIGNS("health and header at once", new DrainPlan(0, 0, DrainPlan.NEVER), 0, 0),
    HEALTH("health only", new DrainPlan(0, DrainPlan.NEVER, DrainPlan.NEVER), 0, 0),
    OLD_HEALTH(
            "health only, 500 ms old", new DrainPlan(0, DrainPlan.NEVER, DrainPlan.NEVER), 500, 0),
    MISLEADING_HEADER(
            "health claims to be well, header", new DrainPlan(0, 0, DrainPlan.NEVER), 0, 0),
    MISLEADING_CLOSE("health claims to be well, closes", new DrainPlan(-1, -1, 0), 0, 0),
    LATE("all signs 1.5 s late", new DrainPlan(1_500, 1_500, 1_500), 0, 1_500),
    LATE_HEADER(
            "header 1 s late", new DrainPlan(DrainPlan.NEVER, 1_000, DrainPlan.NEVER), 0, 1_000);

    private final String mTitle;
    private final DrainPlan mPlan;
    private final long mReportLagMillis;
    private final long mFirstSignMillis;

    DrainKind(String title, DrainPlan plan, long reportLagMillis, long firstSignMillis) {
        mTitle = title;
        mPlan = plan;
        mReportLagMillis = reportLagMillis;
        mFirstSignMillis = firstSignMillis;
    }

    String title() {
        return mTitle;
    }

    DrainPlan plan() {
        return mPlan;
    }

    /** Tells when the first sign could be seen, in milliseconds after the drain began. */
    long firstSignMillis() {
        return mFirstSignMillis;
    }

    boolean isMarkedByOperators() {
        return this == CONFIGURATION;
    }

    BackendServerFaults faults() {
        boolean lies = this == MISLEADING_HEADER || this == MISLEADING_CLOSE;
        HealthClaim claim = lies ? HealthClaim.HEALTHY : HealthClaim.TRUE;
        return new BackendServerFaults(claim, mReportLagMillis, false, false, 0, 0, 0, 0, 1);
    }

    private static DrainPlan never() {
        return new DrainPlan(DrainPlan.NEVER, DrainPlan.NEVER, DrainPlan.NEVER);
    }
}
