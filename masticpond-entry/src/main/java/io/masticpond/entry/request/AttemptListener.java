package io.masticpond.entry.request;

import io.masticpond.core.placement.ServerLoad;
import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.backend.BackendCallListener;
import io.masticpond.entry.backend.CallFailure;
import io.netty.handler.codec.http.HttpHeaders;

/** Hears the end of one attempt, and leaves it aside if the request has ended before. */
final class AttemptListener implements BackendCallListener {

    private final RequestRun mRun;
    private final ServerLoad mAttempted;

    AttemptListener(RequestRun run, ServerLoad attempted) {
        mRun = run;
        mAttempted = attempted;
    }

    @Override
    public void answerBegan(HttpHeaders headers) {
        mRun.answerBegan(headers);
    }

    @Override
    public void answered(BackendAnswer answer) {
        if (mRun.isDone()) {
            answer.body().release();
            return;
        }
        mRun.answered(mAttempted, answer);
    }

    @Override
    public void failed(CallFailure failure) {
        if (!mRun.isDone()) {
            mRun.failed(mAttempted, failure);
        }
    }
}
