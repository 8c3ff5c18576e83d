package io.masticpond.daemon.operation;

import io.masticpond.core.operation.ClaimEntry;
import io.masticpond.core.operation.ClaimResult;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.daemon.steering.RequestCompletion;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The claims and outcomes at the platform, as the steering duty sees them; nothing blocks.
 *
 * @since 0.1
 */
public interface OperationArchive {

    /**
     * Claims a caller's own key.
     *
     * @param entry the caller's key and the operation key to bind it to
     * @param deadlineNanos when the request gives up, in nanoseconds of the monotonic clock
     * @param listener takes the one result, on the steering duty
     */
    void claim(ClaimEntry entry, long deadlineNanos, Consumer<ClaimResult> listener);

    /**
     * Copies an outcome of this home, some time later.
     *
     * @param outcome the outcome
     */
    void keep(KeptOutcome<RequestCompletion.Answered> outcome);

    /**
     * Looks for the outcome of an operation of another home.
     *
     * @param key the operation key
     * @param listener takes the outcome, or empty if the platform has none or is away; on the
     *     steering duty
     */
    void find(
            OperationKey key, Consumer<Optional<KeptOutcome<RequestCompletion.Answered>>> listener);
}
