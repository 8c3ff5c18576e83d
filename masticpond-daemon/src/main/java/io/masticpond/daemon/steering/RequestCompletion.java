package io.masticpond.daemon.steering;

import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.Verdict;
import java.util.List;

/**
 * Completion of a request. Each request has exactly one.
 *
 * @since 0.1
 */
public sealed interface RequestCompletion {

    /**
     * Returns this completion as that of a request of which an earlier attempt may have run.
     *
     * @return this completion, except that a refusal with the verdict {@code DID_NOT_RUN} is
     *     replaced by one with {@code MAY_HAVE_RUN}
     */
    default RequestCompletion asUncertain() {
        return this;
    }

    /**
     * Complete answer of a backend server.
     *
     * @param status the HTTP status
     * @param headers the header fields to forward
     * @param body the complete body; must not be modified
     * @param backendServer the id of the backend server
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(int status, List<HeaderField> headers, byte[] body, String backendServer)
            implements RequestCompletion {

        /** Copies the list. */
        public Answered {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Refusal in place of an answer.
     *
     * @param refusal the refusal, with its verdict on whether the request ran
     */
    record Refused(Refusal refusal) implements RequestCompletion {

        @Override
        public RequestCompletion asUncertain() {
            if (refusal.verdict() != Verdict.DID_NOT_RUN) {
                return this;
            }
            return new Refused(
                    new Refusal(
                            Verdict.MAY_HAVE_RUN,
                            refusal.cause(),
                            refusal.detail() + " An earlier attempt may have run.",
                            refusal.retryAfter()));
        }
    }
}
