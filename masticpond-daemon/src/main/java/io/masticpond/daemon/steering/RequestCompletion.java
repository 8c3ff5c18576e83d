package io.masticpond.daemon.steering;

import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.Verdict;
import java.util.List;

/**
 * The one end of a request.
 *
 * @since 0.1
 */
public sealed interface RequestCompletion {

    /**
     * Gives this end to a request of which an earlier attempt may have run.
     *
     * @return this end, but in place of a refusal that says it did not run one that says it may
     */
    default RequestCompletion asUncertain() {
        return this;
    }

    /**
     * A backend server gave a whole answer.
     *
     * @param status the HTTP status
     * @param headers the header fields to pass on
     * @param body the whole body; must not be changed
     * @param backendServer the backend server, as text
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
     * There is no answer.
     *
     * @param refusal what is known
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
