package io.masticpond.daemon.operation;

import io.masticpond.daemon.steering.HeaderField;
import io.masticpond.daemon.steering.RequestCompletion;

/**
 * Estimator of the memory that a kept answer occupies.
 *
 * @since 0.1
 */
public final class AnswerSize {

    private static final long FIXED_OVERHEAD_BYTES = 128;
    private static final long HEADER_OVERHEAD_BYTES = 64;

    private AnswerSize() {}

    /**
     * Estimates the memory that an answer occupies.
     *
     * @param answer the answer
     * @return the estimated size in bytes
     */
    public static long estimateBytes(RequestCompletion.Answered answer) {
        long size = FIXED_OVERHEAD_BYTES + answer.body().length;
        for (HeaderField field : answer.headers()) {
            size += HEADER_OVERHEAD_BYTES + field.name().length() + field.value().length();
        }
        return size;
    }
}
