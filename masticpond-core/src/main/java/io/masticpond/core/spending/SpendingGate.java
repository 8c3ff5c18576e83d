package io.masticpond.core.spending;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.vavr.control.Either;

/**
 * Gate that charges each attempt, before it is made, to the allotments that this instance holds.
 *
 * <p>A state machine that must be used by one thread only.
 *
 * @since 0.1
 */
public interface SpendingGate {

    /**
     * Charges an attempt.
     *
     * @param service the service
     * @param priceMicros the price in millionths of the operators' currency unit
     * @return the charge, or the refusal with the time of the next shift
     */
    Either<Refusal, Charge> charge(ServiceId service, long priceMicros);

    /**
     * Refunds the charge of an attempt that did not run. Must not be called while it is uncertain
     * whether the attempt ran.
     *
     * @param charge the charge
     */
    void refund(Charge charge);
}
