package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.spending.Charge;
import io.masticpond.entry.log.RequestRecord;
import io.vavr.control.Either;
import java.util.Optional;

/**
 * Charge for the current attempt of one request. Attempts are charged one after the other, and
 * those that did not run are refunded.
 */
final class AttemptCharge {

    /** Empty if spending has no cap. */
    private final Optional<SpendingCheck> mSpending;

    private final RequestRecord mFacts;
    private final ServiceId mService;
    private Charge mCharge;

    /** Creates the charges of a request. */
    AttemptCharge(Optional<SpendingCheck> spending, RequestRecord facts, ServiceId service) {
        mSpending = spending;
        mFacts = facts;
        mService = service;
    }

    /** Charges an attempt. Returns the refusal if the attempt must not be made, empty otherwise. */
    Optional<SpendingRefusal> charge(ZoneId zone) {
        if (mSpending.isEmpty()) {
            return Optional.empty();
        }
        Either<SpendingRefusal, Charge> charge = mSpending.get().charge(mService, zone);
        if (charge.isRight()) {
            mCharge = charge.get();
            return Optional.empty();
        }
        mFacts.chargeRefused(charge.getLeft().inputs());
        return Optional.of(charge.getLeft());
    }

    /** Refunds the last attempt, which did not run. */
    void refund() {
        mSpending.ifPresent(check -> check.refund(mCharge));
    }
}
