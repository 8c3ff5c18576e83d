package io.masticpond.entry.control;

import io.masticpond.core.capacity.ServiceLoadView;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.loadcontrol.LoadControlMode;
import io.masticpond.core.reachability.ReachabilityState;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Immutable snapshot of the load control of one service.
 *
 * @param service the service
 * @param mode the mode of load control
 * @param active whether load control is active for the service
 * @param reportAgeNanos the age of the last report on how long work takes at a server of the
 *     service, in nanoseconds; empty without a report
 * @param load the load, or empty if it is not known
 * @param weights the weight of each region with servers of the service
 * @param speed the speed of the servers, or empty if none is reported
 * @param reachability whether this instance reaches the servers
 */
record ServiceLoadSnapshot(
        ServiceId service,
        LoadControlMode mode,
        boolean active,
        OptionalLong reportAgeNanos,
        Optional<ServiceLoadView> load,
        Map<RegionId, Double> weights,
        Optional<ServiceSpeedView> speed,
        ReachabilityState reachability) {

    ServiceLoadSnapshot {
        weights = Map.copyOf(weights);
    }

    /** Returns the reason why load control is active or not, as it is named in documents. */
    String reason() {
        return switch (mode) {
            case ON -> "mode-on";
            case OFF -> "mode-off";
            case AUTOMATIC -> active ? "times-reported" : "no-times-reported";
        };
    }
}
