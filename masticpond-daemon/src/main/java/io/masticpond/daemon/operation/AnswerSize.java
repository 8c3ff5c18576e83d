package io.masticpond.daemon.operation;

import io.masticpond.daemon.steering.HeaderField;
import io.masticpond.daemon.steering.RequestCompletion;

/**
 * Estimates the memory that a kept answer takes.
 *
 * @since 0.1
 */
public final class AnswerSize {

    private static final long FIXED_BYTES = 128;
    private static final long HEADER_BYTES = 64;

    private AnswerSize() {}

    /**
     * Estimates the memory of one answer.
     *
     * @param answer the answer
     * @return the size in bytes
     */
    public static long of(RequestCompletion.Answered answer) {
        long size = FIXED_BYTES + answer.body().length;
        for (HeaderField field : answer.headers()) {
            size += HEADER_BYTES + field.name().length() + field.value().length();
        }
        return size;
    }
}
