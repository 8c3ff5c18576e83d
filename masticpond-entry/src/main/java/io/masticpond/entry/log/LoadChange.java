package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import io.masticpond.core.capacity.ServiceLoadView;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import java.io.IOException;

/**
 * Change in the control of load.
 *
 * @since 0.3
 */
public sealed interface LoadChange extends ViewChange {

    /**
     * A service became full or is no longer full.
     *
     * @param view the load of the service, with the values on which the change is based
     */
    record Fullness(ServiceLoadView view) implements LoadChange {

        @Override
        public String event() {
            return "service-load";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("service", LineText.of(view.service().value()));
            line.writeStringField("state", view.full() ? "full" : "not-full");
            line.writeNumberField("fullness", RequestLine.rounded(view.fullness()));
            line.writeNumberField("perSecond", RequestLine.rounded(view.capacityPerSecond()));
            double demand =
                    view.demandByZone().values().stream().mapToDouble(Double::doubleValue).sum();
            line.writeNumberField("demandPerSecond", RequestLine.rounded(demand));
            line.writeNumberField("occupationMillis", RequestLine.millis(view.occupationNanos()));
            if (view.demandAgeNanos() != Long.MAX_VALUE) {
                line.writeNumberField("demandAgeMillis", RequestLine.millis(view.demandAgeNanos()));
            }
        }
    }

    /**
     * Step of the weight of a region.
     *
     * @param service the service
     * @param region the region
     * @param steps the steps of a quarter of an octave by which the weight is lowered now
     * @param utilization the utilization of the region that is predicted with these steps
     */
    record RegionWeight(ServiceId service, RegionId region, int steps, double utilization)
            implements LoadChange {

        @Override
        public String event() {
            return "region-weight";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("service", LineText.of(service.value()));
            line.writeStringField("region", LineText.of(region.value()));
            line.writeNumberField("steps", steps);
            line.writeNumberField("utilization", RequestLine.rounded(utilization));
        }
    }
}
