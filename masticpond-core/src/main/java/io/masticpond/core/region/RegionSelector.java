package io.masticpond.core.region;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RequestHead;
import io.vavr.control.Either;
import java.util.Set;

/**
 * Chooses the region that a request goes to, at the instance that took it from the caller.
 *
 * <p>A state machine for one thread. A choice takes a share of the link it crosses and counts
 * against the budgets; each choice must be ended by one {@link #ended}.
 *
 * @since 0.1
 */
public interface RegionSelector {

    /**
     * Chooses a region.
     *
     * @param request the request
     * @param tried the regions that refused this request already, truthfully as did not run
     * @return the region, or the refusal with which the request ends
     */
    Either<Refusal, RegionId> select(RequestHead request, Set<RegionId> tried);

    /**
     * Takes the counts that an admitter reported.
     *
     * @param service the service
     * @param region the region of the admitter
     * @param headroom the counts
     */
    void observe(ServiceId service, RegionId region, Headroom headroom);

    /**
     * Ends a choice.
     *
     * @param request the request
     * @param region the region that was chosen
     * @param end how it ended there
     */
    void ended(RequestHead request, RegionId region, RegionAttemptOutcome end);

    /**
     * Takes whether an admitter for a service can be reached in a region.
     *
     * @param service the service
     * @param region the region
     * @param reachable whether any instance there can be reached
     */
    void setReachable(ServiceId service, RegionId region, boolean reachable);
}
