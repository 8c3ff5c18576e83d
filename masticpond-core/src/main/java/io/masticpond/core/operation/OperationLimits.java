package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;

/**
 * Limits of the memory of a home.
 *
 * @param maximumOperations the maximum number of operations that run or whose outcome is retained
 * @param maximumAnswerBytes the maximum total size of all retained answers, in bytes
 * @param largestAnswerBytes the maximum size of a retained answer, in bytes; for a larger one only
 *     the fact that the operation ran is retained
 * @param reservedAnswerBytes the number of bytes reserved for a running operation until its answer
 *     is known
 * @since 0.1
 */
public record OperationLimits(
        int maximumOperations,
        long maximumAnswerBytes,
        long largestAnswerBytes,
        long reservedAnswerBytes) {

    /** 50,000 outcomes, 16 MiB of answers, and at most 256 KiB for one answer. */
    public static final OperationLimits DEFAULT =
            new OperationLimits(50_000, 16L << 20, 256L << 10, 4L << 10);

    /** Validates the limits. */
    public OperationLimits {
        Assert.positive(maximumOperations, "A number of operations");
        Assert.positive(maximumAnswerBytes, "A number of bytes of all answers");
        Assert.positive(largestAnswerBytes, "A number of bytes of an answer");
        Assert.notNegative(reservedAnswerBytes, "A number of reserved bytes");
        Assert.isTrue(
                largestAnswerBytes <= maximumAnswerBytes,
                "The largest answer must be at most all answers together, but was %d of %d bytes.",
                largestAnswerBytes,
                maximumAnswerBytes);
    }
}
