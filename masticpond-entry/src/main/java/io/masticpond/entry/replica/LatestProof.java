package io.masticpond.entry.replica;

import io.masticpond.core.time.Moment;
import java.util.Optional;

/**
 * Newest moment at which a copy is known to contain all changes that the store had made. Confined
 * to the control thread.
 */
final class LatestProof {

    private Optional<Moment> mMoment = Optional.empty();

    /**
     * Records a proof, unless a newer one is known.
     *
     * @param moment the moment, at the latest that of the request whose answer was applied
     * @param now the current moment
     */
    void record(Moment moment, Moment now) {
        if (mMoment.isEmpty() || moment.nanosUntil(now) < mMoment.get().nanosUntil(now)) {
            mMoment = Optional.of(moment);
        }
    }

    /** Returns the moment, or empty before the first proof. */
    Optional<Moment> moment() {
        return mMoment;
    }

    /** Returns the age in nanoseconds, or 0 before the first proof. */
    long ageNanos(Moment now) {
        return mMoment.map(moment -> moment.nanosUntil(now)).orElse(0L);
    }
}
