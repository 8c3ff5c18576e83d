package io.masticpond.daemon.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.operation.OperationDecision;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.Verdict;
import io.masticpond.daemon.steering.RequestCompletion;
import java.time.Duration;
import java.util.Optional;

/**
 * Factory for refusals of once-only operations; each verdict covers the operation, not the attempt.
 */
final class OnceOnlyRefusals {

    private static final Duration SHORT_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration OUTAGE_RETRY_DELAY = Duration.ofSeconds(5);

    private OnceOnlyRefusals() {}

    static Refusal malformedKey() {
        return Refusal.didNotRun(
                RefusalCause.BAD_OPERATION_KEY, "The operation key is not one of ours.");
    }

    static Refusal wrongRequest() {
        return Refusal.didNotRun(
                RefusalCause.BAD_OPERATION_KEY,
                "The operation key was used for another method, path or body; this request did not"
                        + " run.");
    }

    static Refusal inProgress() {
        return Refusal.mayHaveRun(
                        RefusalCause.OPERATION_IN_PROGRESS,
                        "The operation runs now; ask again with the same key for its outcome.")
                .retryAfter(SHORT_RETRY_DELAY);
    }

    static Refusal claimsFull() {
        return Refusal.didNotRun(
                        RefusalCause.OPERATION_STORE_FULL,
                        "The platform holds as many keys of callers as it may.")
                .retryAfter(OUTAGE_RETRY_DELAY);
    }

    static Refusal platformUnavailable(boolean firstAttempt) {
        return new Refusal(
                verdict(firstAttempt),
                RefusalCause.PLATFORM_AWAY,
                "This attempt did not run: the key cannot be claimed while the platform is away."
                        + earlierAttemptNote(firstAttempt),
                Optional.of(OUTAGE_RETRY_DELAY));
    }

    /**
     * Returns the completion of a first attempt that was forwarded to be claimed. If the other
     * instance could not claim it, the verdict is corrected: that instance did not know that there
     * was no earlier attempt.
     */
    static RequestCompletion ofFirstAttempt(RequestCompletion completion) {
        boolean unclaimed =
                completion instanceof RequestCompletion.Refused refused
                        && refused.refusal().cause() == RefusalCause.PLATFORM_AWAY;
        return unclaimed ? new RequestCompletion.Refused(platformUnavailable(true)) : completion;
    }

    static Refusal homeUnreachable(boolean firstAttempt) {
        return new Refusal(
                verdict(firstAttempt),
                RefusalCause.INSTANCE_LOST,
                "This attempt did not run: the home of the key cannot be reached."
                        + earlierAttemptNote(firstAttempt),
                Optional.of(SHORT_RETRY_DELAY));
    }

    static Refusal homeTerminated(Incarnation home) {
        return Refusal.mayHaveRun(
                RefusalCause.OPERATION_HOME_GONE,
                "The home of the key, "
                        + home
                        + ", is gone: the operation may have run and no repeat will run it.");
    }

    /** Returns the refusal for a decision that requires no other action. */
    static Refusal of(OperationDecision<?> decision, boolean firstAttempt) {
        if (decision instanceof OperationDecision.WrongRequest) {
            return wrongRequest();
        }
        if (decision instanceof OperationDecision.ForgedKey) {
            return malformedKey();
        }
        if (decision instanceof OperationDecision.Expired) {
            return new Refusal(
                    verdict(firstAttempt),
                    RefusalCause.OPERATION_KEY_EXPIRED,
                    "The operation key expired; no repeat will run it."
                            + earlierAttemptNote(firstAttempt),
                    Optional.empty());
        }
        if (decision instanceof OperationDecision.Full) {
            return Refusal.didNotRun(
                            RefusalCause.OPERATION_STORE_FULL,
                            "The instance holds as many operations as it may.")
                    .retryAfter(OUTAGE_RETRY_DELAY);
        }
        if (decision instanceof OperationDecision.Stopping) {
            return Refusal.didNotRun(
                    RefusalCause.NOT_READY, "The home of the key is stopping; use another key.");
        }
        throw new IllegalStateException("The decision " + decision + " is no refusal.");
    }

    private static Verdict verdict(boolean firstAttempt) {
        return firstAttempt ? Verdict.DID_NOT_RUN : Verdict.MAY_HAVE_RUN;
    }

    private static String earlierAttemptNote(boolean firstAttempt) {
        return firstAttempt ? "" : " An earlier attempt with the key may have run.";
    }
}
