package io.masticpond.entry.metrics;

import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ProcessChange;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.ViewChange;

/**
 * {@link DecisionLog} decorator that counts the requests that are logged, so that metrics and log
 * lines always agree.
 */
final class CountingLog implements DecisionLog {

    private final DecisionLog mNext;
    private final RequestCounts mCounts;

    CountingLog(DecisionLog next, RequestCounts counts) {
        mNext = next;
        mCounts = counts;
    }

    @Override
    public void requestEnded(RequestRecord request) {
        mCounts.ended(request);
        mNext.requestEnded(request);
    }

    @Override
    public void requestRetried(RequestRecord request) {
        mCounts.retried();
        mNext.requestRetried(request);
    }

    @Override
    public void viewChanged(ViewChange change) {
        mNext.viewChanged(change);
    }

    @Override
    public void processChanged(ProcessChange change) {
        mNext.processChanged(change);
    }
}
