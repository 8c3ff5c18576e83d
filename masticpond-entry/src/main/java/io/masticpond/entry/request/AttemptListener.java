package io.masticpond.entry.request;

import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.statement.ServerStatement;
import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.backend.BackendCallListener;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.log.RequestRecord;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * {@link BackendCallListener} of one attempt. Passes its end to the request, unless the request has
 * ended before.
 */
final class AttemptListener implements BackendCallListener {

    private final RequestFlow mFlow;
    private final RequestRun mRun;
    private final RequestRecord mFacts;
    private final ServerLoad mAttempted;
    private final long mSentNanos;
    private final boolean mHadPermit;
    private ServerStatement mStatement = ServerStatement.NONE;

    AttemptListener(
            RequestFlow flow,
            RequestRun run,
            RequestRecord facts,
            ServerLoad attempted,
            long sentNanos) {
        mFlow = flow;
        mRun = run;
        mFacts = facts;
        mAttempted = attempted;
        mSentNanos = sentNanos;
        mHadPermit = flow.statements().limits().isLimited(attempted, sentNanos);
    }

    @Override
    public boolean canBegin() {
        return mFlow.statements().maySend(mAttempted, mHadPermit);
    }

    @Override
    public void answerBegan(int status, HttpHeaders headers) {
        mStatement = mFlow.statements().read(mAttempted, status, headers);
        mFacts.stated(mStatement);
        mFlow.statements().applyAnswer(mAttempted, mStatement, mSentNanos);
    }

    @Override
    public void answered(BackendAnswer answer) {
        if (mRun.isDone()) {
            answer.body().release();
            return;
        }
        mRun.onAnswer(mAttempted, mStatement, answer);
    }

    @Override
    public void failed(CallFailure failure) {
        if (!mRun.isDone()) {
            mRun.onFailure(mAttempted, failure);
        }
    }
}
