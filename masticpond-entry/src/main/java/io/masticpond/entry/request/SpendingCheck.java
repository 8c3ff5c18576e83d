package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.SpendingView;
import io.vavr.control.Either;
import java.util.List;

/**
 * Strategy interface for charging each attempt before it is sent to a backend server. For use on
 * the traffic thread only, except {@link #isStopped}.
 *
 * @since 0.3
 */
public interface SpendingCheck {

    /**
     * Charges an attempt.
     *
     * @param service the service
     * @param zone the zone of the backend server
     * @return the charge, or why the attempt must not be made
     */
    Either<SpendingRefusal, Charge> charge(ServiceId service, ZoneId zone);

    /**
     * Refunds a charge whose attempt did not run. Must not be called if the attempt may have run.
     *
     * @param charge the charge
     */
    void refund(Charge charge);

    /**
     * Returns the state of spending.
     *
     * @return a view for each service and shift that is open
     */
    List<SpendingView> views();

    /** Called when the platform's store has been restored from an older copy. */
    default void onStoreRestored() {}

    /** Starts taking allotments. A repeated call has no effect. */
    void start();

    /** Refuses further charges and returns what is left. A repeated call has no effect. */
    void stop();

    /**
     * Determines whether all that was left has been returned. Safe for use by any thread.
     *
     * @return whether it has; this may stay false while the store is unavailable
     */
    boolean isStopped();
}
