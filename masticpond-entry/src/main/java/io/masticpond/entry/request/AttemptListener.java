package io.masticpond.entry.request;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ServiceId;
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
    private boolean mHasBegun;

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
        mHasBegun = true;
        long now = mFlow.nowNanos();
        ServiceId service = mAttempted.server().service();
        mFlow.forwarding().monitor().recordAnswered(service, now - mSentNanos, now);
        mStatement = mFlow.statements().read(mAttempted, status, headers);
        mFacts.stated(mAttempted.server().id(), mStatement, now);
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

    /**
     * Determines whether a failure may be one of this instance's link. A request whose connections
     * broke off one after the other may have ended its servers, so only the first counts.
     */
    private boolean isLinkSuspect(CallFailure failure) {
        return failure.kind() == CallFailure.Kind.NOT_CONNECTED
                || (failure.kind() == CallFailure.Kind.BROKEN_OFF
                        && !mHasBegun
                        && mFacts.attempts() == 1);
    }

    @Override
    public void failed(CallFailure failure) {
        if (isLinkSuspect(failure)) {
            RegisteredServer server = mAttempted.server();
            mFlow.forwarding()
                    .monitor()
                    .recordFailed(server.service(), server.id(), mFlow.nowNanos());
        }
        if (!mRun.isDone()) {
            mRun.onFailure(mAttempted, failure);
        }
    }
}
