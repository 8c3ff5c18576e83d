package io.masticpond.entry.backend;

import io.masticpond.core.body.ResponseAdmission;

/** Rule by which the end of an answer's body is found. */
enum AnswerFraming {
    /** The answer ends with its head. */
    WITHOUT_BODY {
        @Override
        boolean isComplete(long bodyBytes, long statedBytes, InputEnd end) {
            return bodyBytes == 0;
        }

        @Override
        long expectedBytes(long statedBytes) {
            return 0;
        }
    },
    /** The head states the length of the body. */
    LENGTH {
        @Override
        boolean isComplete(long bodyBytes, long statedBytes, InputEnd end) {
            return bodyBytes == statedBytes;
        }

        @Override
        long expectedBytes(long statedBytes) {
            return statedBytes;
        }
    },
    /** The body ends with an empty chunk. */
    CHUNKS {
        @Override
        boolean isComplete(long bodyBytes, long statedBytes, InputEnd end) {
            return end == InputEnd.NONE;
        }
    },
    /** The body ends with the connection. */
    UNTIL_END {
        @Override
        boolean isComplete(long bodyBytes, long statedBytes, InputEnd end) {
            return end == InputEnd.ORDERLY;
        }
    };

    /**
     * Determines whether an answer whose last part was decoded is complete.
     *
     * @param bodyBytes the bytes of the body that were received
     * @param statedBytes the length stated by the head, if the framing has one
     * @param end how the input ended; {@link InputEnd#NONE} if the last part was decoded before
     */
    abstract boolean isComplete(long bodyBytes, long statedBytes, InputEnd end);

    /** Returns the length of the body, or {@link ResponseAdmission#UNSTATED}. */
    long expectedBytes(long statedBytes) {
        return ResponseAdmission.UNSTATED;
    }
}
