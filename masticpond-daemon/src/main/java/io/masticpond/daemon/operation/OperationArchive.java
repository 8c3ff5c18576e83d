package io.masticpond.daemon.operation;

import io.masticpond.core.operation.ClaimEntry;
import io.masticpond.core.operation.ClaimResult;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.daemon.steering.RequestCompletion;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Archive of the claims and outcomes stored at the platform, for use on the steering thread. No
 * method blocks.
 *
 * @since 0.1
 */
public interface OperationArchive {

    /**
     * Claims a caller's own key.
     *
     * @param entry the caller's key and the operation key to bind it to
     * @param deadlineNanos the deadline of the request, in nanoseconds of the monotonic clock
     * @param listener receives the result exactly once, on the steering thread
     */
    void claim(ClaimEntry entry, long deadlineNanos, Consumer<ClaimResult> listener);

    /**
     * Schedules an outcome of this home to be copied to the platform; returns before it is written.
     *
     * @param outcome the outcome
     */
    void keep(KeptOutcome<RequestCompletion.Answered> outcome);

    /**
     * Finds the outcome of an operation of another home.
     *
     * @param key the operation key
     * @param listener receives the outcome, or empty if the platform has none or is unavailable;
     *     called on the steering thread
     */
    void find(
            OperationKey key, Consumer<Optional<KeptOutcome<RequestCompletion.Answered>>> listener);
}
