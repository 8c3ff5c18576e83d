package io.masticpond.core.region;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RequestHead;
import io.vavr.control.Either;
import java.util.Set;

/**
 * Strategy interface for choosing the region of a request, at the instance that received it from
 * the client.
 *
 * <p>Implementations are confined to one thread. A choice consumes a share of the link that it
 * crosses and counts against the budgets; each choice must be followed by exactly one call of
 * {@link #recordOutcome}.
 *
 * @since 0.1
 */
public interface RegionSelector {

    /**
     * Selects a region.
     *
     * @param request the request
     * @param tried the regions that have refused this request with the true verdict that it did not
     *     run
     * @return the region, or the refusal with which the request ends
     */
    Either<Refusal, RegionId> select(RequestHead request, Set<RegionId> tried);

    /**
     * Records the headroom that an admitter reported.
     *
     * @param service the service
     * @param region the region of the admitter
     * @param headroom the reported headroom
     */
    void observe(ServiceId service, RegionId region, Headroom headroom);

    /**
     * Records the outcome of a choice.
     *
     * @param request the request
     * @param region the region that was chosen
     * @param outcome the outcome of the request there
     */
    void recordOutcome(RequestHead request, RegionId region, RegionAttemptOutcome outcome);

    /**
     * Sets whether an admitter of a service can be reached in a region.
     *
     * @param service the service
     * @param region the region
     * @param reachable whether at least one instance there can be reached
     */
    void setReachable(ServiceId service, RegionId region, boolean reachable);
}
