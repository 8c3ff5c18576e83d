package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.SpendingView;
import io.vavr.control.Either;
import java.util.List;

/**
 * Pays for each attempt before it is sent to a backend server. Traffic thread only, but for {@link
 * #isStopped}.
 *
 * @since 0.3
 */
public interface SpendingCheck {

    /**
     * Pays for an attempt.
     *
     * @param service the service
     * @param zone the zone of the backend server
     * @return the charge, or why the attempt must not be made
     */
    Either<SpendingRefusal, Charge> charge(ServiceId service, ZoneId zone);

    /**
     * Takes back a charge whose attempt did not run. Must not be called in doubt.
     *
     * @param charge the charge
     */
    void refund(Charge charge);

    /**
     * Tells how spending stands.
     *
     * @return a view for each service and shift that is open
     */
    List<SpendingView> views();

    /** Hears that the platform's store has come back from an older copy. */
    default void storeRestored() {}

    /** Begins to take allotments; a second wish changes nothing. */
    void start();

    /** Pays for nothing more and gives back what is left; a second wish changes nothing. */
    void stop();

    /**
     * Tells whether all that was left is given back. Safe for all threads.
     *
     * @return whether it is; while the store is away it may never be
     */
    boolean isStopped();
}
