package io.masticpond.entry.wiring;

import io.masticpond.core.capacity.CapacityGate;
import io.masticpond.core.capacity.DemandTotals;
import io.masticpond.entry.control.LoadSources;
import io.masticpond.entry.request.RequestFlow;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Connections between the parts of load control: the gate reports the demand at this instance and
 * receives that of the others, regions are balanced by the times that the gate measures, and
 * operators see all of them.
 */
@Singleton
final class LoadControlWiring {

    private final CapacityGate mGate;
    private final DemandTotals mTotals;
    private final DemandSharing mSharing;
    private final RegionBalancing mRegions;
    private final RequestFlow mFlow;
    private final LoadSources mSources;

    @Inject
    LoadControlWiring(
            CapacityGate gate,
            DemandTotals totals,
            DemandSharing sharing,
            RegionBalancing regions,
            RequestFlow flow,
            LoadSources sources) {
        mGate = gate;
        mTotals = totals;
        mSharing = sharing;
        mRegions = regions;
        mFlow = flow;
        mSources = sources;
    }

    /** Connects the parts and starts the exchange of demand. */
    void start() {
        mGate.setFleetDemand(mTotals);
        mSharing.setSource(mGate.demandSource());
        mRegions.setOccupation(mGate::occupationNanos);
        mSources.setLoads(mGate);
        mSources.setRegionWeights(mRegions.weights());
        mSources.setSpeeds(
                new ServerSpeedViews(mFlow.servers(), mFlow.placer().chooser().speeds()));
        mSharing.start();
    }
}
