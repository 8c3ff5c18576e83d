package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/**
 * Line for a request that is retried on another backend server. Copies the values that may change
 * before the line is written.
 */
final class RetryLine implements LineContent {

    private final RequestRecord mRequest;
    private final int mAttempts;
    private final Attempt mFailed;
    private final double mRetryBudget;

    RetryLine(RequestRecord request) {
        mRequest = request;
        mAttempts = request.mAttempts.size();
        mFailed = request.mAttempts.last();
        mRetryBudget = request.mRetryBudget;
    }

    String requestId() {
        return mRequest.mRequestId;
    }

    @Override
    public String event() {
        return "retry";
    }

    @Override
    public void write(JsonGenerator line) throws IOException {
        RequestLine.writeHead(line, mRequest);
        line.writeNumberField("attempt", mAttempts);
        if (mFailed != null) {
            line.writeStringField("server", LineText.of(mFailed.mServer.value()));
            line.writeStringField("result", EnumNames.of(mFailed.mResult));
            if (mFailed.mStatus != 0) {
                line.writeNumberField("status", mFailed.mStatus);
            }
            line.writeNumberField(
                    "millis", RequestLine.millis(mFailed.mEndNanos - mRequest.mArrivalNanos));
            line.writeNumberField(
                    "leftMillis", RequestLine.millis(mRequest.mDeadlineNanos - mFailed.mEndNanos));
        }
        if (mRetryBudget >= 0) {
            line.writeNumberField("retryBudget", RequestLine.rounded(mRetryBudget));
        }
    }
}
