package io.masticpond.entry.request;

import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.log.RequestRecord;
import java.time.Duration;

/** Words the one answer that a request ends with, and notes it among the facts of the request. */
final class RequestCompletion {

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final EntryAnswers mAnswers;
    private final RequestRecord mFacts;
    private final String mRequestId;

    RequestCompletion(EntryAnswers answers, RequestRecord facts, String requestId) {
        mAnswers = answers;
        mFacts = facts;
        mRequestId = requestId;
    }

    /** The backend server's answer, as it is. */
    OutgoingAnswer forwarded(BackendAnswer answer, long nowNanos) {
        mFacts.answered(answer.status(), nowNanos);
        return new OutgoingAnswer(answer.status(), answer.headers(), answer.body());
    }

    /** A promise that the request did not run, and when to come back if that helps. */
    OutgoingAnswer notRun(Rejection rejection, long nowNanos) {
        String text = "The request did not run: " + rejection.cause() + ".";
        int status = rejection.status();
        if (rejection.retryAfter().isEmpty()) {
            mFacts.refused(rejection.cause(), status, RequestRecord.UNKNOWN, nowNanos);
            return mAnswers.plain(status, mRequestId, text);
        }
        Duration comeBack = rejection.retryAfter().get();
        mFacts.refused(rejection.cause(), status, comeBack.toMillis(), nowNanos);
        return mAnswers.refusal(status, mRequestId, text, comeBack);
    }

    /** An end without promise. */
    OutgoingAnswer uncertain(String cause, boolean late, long nowNanos) {
        int status = late ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        mFacts.gaveUp(cause, status, nowNanos);
        return mAnswers.plain(status, mRequestId, "The request may have run: " + cause + ".");
    }
}
