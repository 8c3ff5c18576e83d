package io.masticpond.entry.request;

import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.log.RequestRecord;
import java.time.Duration;

/**
 * Factory of the single answer that a request ends with, which it also adds to the record of the
 * request.
 */
final class RequestCompletion {

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final EntryAnswers mAnswers;
    private final RequestRecord mFacts;
    private final String mRequestId;

    RequestCompletion(RequestFlow flow, RequestRecord facts, IncomingRequest request) {
        this(flow.answers(), facts, request.headers().get(flow.names().requestId()));
    }

    RequestCompletion(EntryAnswers answers, RequestRecord facts, String requestId) {
        mAnswers = answers;
        mFacts = facts;
        mRequestId = requestId;
    }

    /** Returns the answer of the backend server, unchanged. */
    OutgoingAnswer forwarded(BackendAnswer answer, long nowNanos) {
        mFacts.answered(answer.status(), nowNanos);
        return new OutgoingAnswer(answer.status(), answer.headers(), answer.body());
    }

    /**
     * Returns a refusal that guarantees that the request did not run, with the time to retry if a
     * retry helps.
     */
    OutgoingAnswer notRun(Rejection rejection, long nowNanos) {
        String text = "The request did not run: " + rejection.cause() + ".";
        int status = rejection.status();
        if (rejection.retryAfter().isEmpty()) {
            mFacts.refused(rejection.cause(), status, RequestRecord.UNKNOWN, nowNanos);
            return mAnswers.plain(status, mRequestId, text);
        }
        Duration retryDelay = rejection.retryAfter().get();
        mFacts.refused(rejection.cause(), status, retryDelay.toMillis(), nowNanos);
        return mAnswers.refusal(status, mRequestId, text, retryDelay);
    }

    /** Returns a failure that leaves open whether the request has run. */
    OutgoingAnswer uncertain(String cause, boolean isLate, long nowNanos) {
        int status = isLate ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        mFacts.gaveUp(cause, status, nowNanos);
        return mAnswers.plain(status, mRequestId, "The request may have run: " + cause + ".");
    }
}
