package io.masticpond.core.request;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.Optional;

/**
 * End of a request without an answer of a backend server, with what is known about whether it ran.
 *
 * @param verdict what is known about whether the request ran
 * @param cause the reason for the missing answer
 * @param detail one sentence for display
 * @param retryAfter the time after which the caller should retry, if known
 * @since 0.1
 */
public record Refusal(
        Verdict verdict, RefusalCause cause, String detail, Optional<Duration> retryAfter) {

    /** Validates that all components are given. */
    public Refusal {
        Assert.notNull(verdict, "A verdict");
        Assert.notNull(cause, "A cause");
        Assert.hasText(detail, "A detail");
        Assert.notNull(retryAfter, "A time for a retry");
    }

    /**
     * Creates a refusal of a request that did not run, without a time for a retry.
     *
     * @param cause the reason for the missing answer
     * @param detail one sentence for display
     * @return the refusal
     */
    public static Refusal didNotRun(RefusalCause cause, String detail) {
        return new Refusal(Verdict.DID_NOT_RUN, cause, detail, Optional.empty());
    }

    /**
     * Creates a refusal of a request that may have run, without a time for a retry.
     *
     * @param cause the reason for the missing answer
     * @param detail one sentence for display
     * @return the refusal
     */
    public static Refusal mayHaveRun(RefusalCause cause, String detail) {
        return new Refusal(Verdict.MAY_HAVE_RUN, cause, detail, Optional.empty());
    }

    /**
     * Returns this refusal with a time for a retry.
     *
     * @param duration the time after which the caller should retry
     * @return the refusal
     */
    public Refusal retryAfter(Duration duration) {
        return new Refusal(verdict, cause, detail, Optional.of(duration));
    }
}
