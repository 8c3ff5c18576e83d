package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Detector of requests that crash every backend server that processes them, at whichever instance
 * they arrive; it prevents them from being sent to further servers.
 *
 * <p>Each instance reports the ends that it observes to a few aggregators of the request, the same
 * for all instances, which combine them. From two consecutive ends on, all instances are notified:
 * the request is then suspected and not retried automatically. From {@link CrashSettings#ends} on
 * it is rejected everywhere. An instance relies on what it observed itself or on what two others
 * concluded, so that one faulty instance cannot cause a rejection. An answer by any server clears
 * the request at once, and an operator can release it at any time; otherwise it is tried again
 * after a time that doubles with each rejection.
 *
 * <p>Must be used by one thread only.
 *
 * @since 0.2
 */
public final class CrashingRequests {

    /**
     * Maximum number of rejected requests in one call of {@link #rejections}, which fit into a
     * datagram.
     */
    static final int MAXIMUM_REJECTIONS_PER_MESSAGE = 36;

    private static final int ENDS_ON_TRIAL = 1;

    /**
     * Time after which all instances know of a suspicion and a frequent harmless request has been
     * answered somewhere; a harmful one is sent only a few times within it.
     */
    private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Minimum interval between clearances in reply to instances that still report a request. */
    private static final long CLEARANCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final String OWN = "";

    private CrashSettings mSettings;
    private final CrashOutput mOutput;
    private final CrashSuspects mSuspects = new CrashSuspects();

    /**
     * Creates a detector without any tracked requests.
     *
     * @param settings the settings of the detection
     * @param output the receiver of messages and view changes
     */
    public CrashingRequests(CrashSettings settings, CrashOutput output) {
        mSettings = Assert.notNull(settings, "Settings of crashing requests");
        mOutput = Assert.notNull(output, "An output of crashing requests");
    }

    /**
     * Applies new settings; current rejections keep their duration.
     *
     * @param settings the settings
     */
    public void applySettings(CrashSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of crashing requests");
    }

    /**
     * Determines whether no request is tracked, so that lookups can be skipped.
     *
     * @return whether no request is tracked
     */
    public boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    /**
     * Determines whether a request may be tracked, by its checksum only.
     *
     * @param checksum the checksum of its fingerprint
     * @return {@code false} if it is certainly not tracked
     */
    public boolean mightContain(int checksum) {
        return mSuspects.contains(checksum);
    }

    /**
     * Returns the remaining time for which a request is rejected.
     *
     * @param request the request
     * @param nowNanos the monotonic time
     * @return the time in nanoseconds, 0 if it is not rejected
     */
    public long rejectedForNanos(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = current(request, nowNanos);
        return suspect != null && suspect.mIsRejected ? suspect.mRejectedUntilNanos - nowNanos : 0;
    }

    /**
     * Determines whether this instance should not retry a request.
     *
     * @param request the request
     * @param nowNanos the monotonic time
     * @return whether it is suspected or rejected
     */
    public boolean isSuspected(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = current(request, nowNanos);
        return suspect != null
                && (suspect.mIsRejected || suspect.ends() >= suspect.suspicionThreshold());
    }

    /**
     * Records that a server ended while it was processing a request of this instance.
     *
     * @param request the request
     * @param serverHash the hash of the server's id
     * @param sentNanos the monotonic time at which the request was sent to it
     * @param endedNanos the monotonic time at which the send ended
     * @param nowNanos the monotonic time
     */
    public void addServerEnd(
            RequestFingerprint request,
            long serverHash,
            long sentNanos,
            long endedNanos,
            long nowNanos) {
        CrashMessage.ServerEnd end =
                new CrashMessage.ServerEnd(
                        request, serverHash, nowNanos - sentNanos, nowNanos - endedNanos);
        add(OWN, end, nowNanos);
        mOutput.sendToAggregators(end);
    }

    /**
     * Processes a message from another instance.
     *
     * @param sender the name of the other instance
     * @param message the message
     * @param nowNanos the monotonic time
     */
    public void receive(String sender, CrashMessage message, long nowNanos) {
        Assert.hasText(sender, "The name of a sender");
        if (message instanceof CrashMessage.ServerEnd end) {
            add(sender, end, nowNanos);
        } else if (message instanceof CrashMessage.Verdict verdict) {
            receiveVerdict(sender, verdict, nowNanos);
        } else if (message instanceof CrashMessage.Refutation refutation) {
            receiveRefutation(refutation, nowNanos);
        } else {
            CrashSuspect suspect = mSuspects.get(message.request());
            if (suspect != null) {
                clear(suspect, CrashView.State.ANSWERED, nowNanos);
            }
        }
    }

    /**
     * Records that a server answered a request, which proves that it does not crash every server.
     *
     * @param request the request
     * @param nowNanos the monotonic time
     */
    public void answered(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = current(request, nowNanos);
        if (suspect == null
                || (suspect.serverEnds().isEmpty() && suspect.verdictReporters() == 0)) {
            return;
        }
        sendClearance(suspect);
        clear(suspect, CrashView.State.ANSWERED, nowNanos);
    }

    /**
     * Releases a request, here and at all other instances.
     *
     * @param request the request
     * @param nowNanos the monotonic time
     * @return whether the request was tracked
     */
    public boolean release(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = current(request, nowNanos);
        if (suspect == null) {
            return false;
        }
        mOutput.sendToAll(new CrashMessage.Clearance(request));
        clear(suspect, CrashView.State.RELEASED, nowNanos);
        return true;
    }

    /**
     * Returns the rejections of this instance, for another instance that may not know them. They
     * must be sent repeatedly, since messages get lost and instances start.
     *
     * @param nowNanos the monotonic time
     * @return some of the rejections; further calls return the others
     */
    public List<CrashMessage> rejections(long nowNanos) {
        List<CrashMessage> rejections = new ArrayList<>();
        List<CrashSuspect> sent = new ArrayList<>();
        for (CrashSuspect suspect : mSuspects.all()) {
            if (current(suspect.request(), nowNanos) == suspect
                    && suspect.mIsRejected
                    && rejections.size() < MAXIMUM_REJECTIONS_PER_MESSAGE) {
                rejections.add(suspect.verdict(mSettings, nowNanos));
                sent.add(suspect);
            }
        }
        sent.forEach(mSuspects::moveToEnd);
        return rejections;
    }

    /**
     * Returns this instance's view of each tracked request.
     *
     * @param nowNanos the monotonic time
     * @return the views, the rejected requests first
     */
    public List<CrashView> views(long nowNanos) {
        List<CrashView> views = new ArrayList<>();
        for (CrashSuspect suspect : mSuspects.all()) {
            if (current(suspect.request(), nowNanos) == suspect) {
                views.add(suspect.view(suspect.state(), nowNanos));
            }
        }
        views.sort(
                Comparator.comparing((CrashView each) -> each.remainingNanos() == 0)
                        .thenComparing(each -> -each.ends()));
        return views;
    }

    private void add(String reporter, CrashMessage.ServerEnd end, long nowNanos) {
        long endedNanos = nowNanos - end.endedAgoNanos();
        CrashSuspect suspect = track(end.request(), nowNanos);
        if (suspect.wasClearedAfter(endedNanos)) {
            return;
        }
        suspect.serverEnds()
                .add(reporter, end.serverHash(), nowNanos - end.sentAgoNanos(), endedNanos);
        evaluate(suspect, nowNanos);
        if (!reporter.equals(OWN) && suspect.reportedByAny() >= suspect.suspicionThreshold()) {
            mOutput.verify(end);
        }
    }

    /**
     * Refutes the end of a server that another instance reported, here and at all other instances:
     * the server accepts connections of this instance.
     *
     * @param end the end, with its ages as they were received
     * @param receivedNanos the monotonic time at which it was received
     * @param nowNanos the monotonic time
     */
    public void refute(CrashMessage.ServerEnd end, long receivedNanos, long nowNanos) {
        long endedAgoNanos = end.endedAgoNanos() + nowNanos - receivedNanos;
        CrashMessage.Refutation refutation =
                new CrashMessage.Refutation(end.request(), end.serverHash(), endedAgoNanos);
        mOutput.sendToAll(refutation);
        receiveRefutation(refutation, nowNanos);
    }

    /** Discards a refuted end with the suspicions that other instances based on it. */
    private void receiveRefutation(CrashMessage.Refutation refutation, long nowNanos) {
        CrashSuspect suspect = current(refutation.request(), nowNanos);
        if (suspect != null && !suspect.mIsRejected) {
            suspect.discardEnd(
                    refutation.serverHash(), nowNanos - refutation.endedAgoNanos(), nowNanos);
        }
    }

    private void receiveVerdict(String sender, CrashMessage.Verdict verdict, long nowNanos) {
        CrashSuspect suspect = track(verdict.request(), nowNanos);
        if (suspect.wasClearedAfter(nowNanos - verdict.agoNanos())) {
            if (nowNanos - suspect.mLastUpdateNanos >= CLEARANCE_INTERVAL_NANOS) {
                suspect.mLastUpdateNanos = nowNanos;
                mOutput.sendToAll(new CrashMessage.Clearance(verdict.request()));
            }
            return;
        }
        boolean isOutdated = !suspect.mIsRejected && verdict.rejections() <= suspect.mRejections;
        if (isOutdated && verdict.rejections() > 0) {
            return;
        }
        suspect.addVerdict(sender, verdict, nowNanos);
        evaluate(suspect, nowNanos);
    }

    /** Evaluates a request again, and reports to all instances what the ends known here show. */
    private void evaluate(CrashSuspect suspect, long nowNanos) {
        suspect.mLastUpdateNanos = nowNanos;
        rejectIfProven(suspect, nowNanos);
        int observed = suspect.observedEnds();
        if (observed > suspect.mAnnouncedEnds
                && (observed >= suspect.suspicionThreshold() || suspect.mIsRejected)) {
            suspect.mAnnouncedEnds = observed;
            mOutput.sendToAll(suspect.verdict(mSettings, nowNanos));
            if (!suspect.mIsRejected) {
                mOutput.viewChanged(suspect.view(suspect.state(), nowNanos));
            }
        }
    }

    private void rejectIfProven(CrashSuspect suspect, long nowNanos) {
        if (suspect.mIsRejected) {
            return;
        }
        suspect.removeOutdatedSuspicions(nowNanos);
        int ends = suspect.ends();
        suspect.setSuspected(ends >= CrashSuspect.SUSPICIOUS_ENDS, nowNanos);
        // A first rejection is not based on ends that other instances concluded, since a clearance
        // may have overtaken their suspicion.
        boolean isProven =
                suspect.mRejections > 0
                        ? ends >= ENDS_ON_TRIAL
                        : suspect.observedEnds() >= mSettings.ends()
                                && suspect.isSuspectedFor(CONFIRMATION_NANOS, nowNanos);
        if (isProven || suspect.isReportedRejected()) {
            reject(suspect, nowNanos);
        }
    }

    private void reject(CrashSuspect suspect, long nowNanos) {
        boolean isOwn = !suspect.isReportedRejected();
        suspect.mRejections = Math.max(suspect.mRejections + 1, suspect.reportedRejections());
        suspect.mIsRejected = true;
        suspect.mRejectedNanos = nowNanos - (isOwn ? 0 : suspect.reportedAgoNanos());
        suspect.mRejectedUntilNanos = suspect.mRejectedNanos + suspect.rejectionNanos(mSettings);
        if (suspect.mRejectedUntilNanos - nowNanos <= 0) {
            expireRejection(suspect);
            return;
        }
        mOutput.viewChanged(suspect.view(CrashView.State.REJECTED, nowNanos));
        if (isOwn) {
            suspect.mAnnouncedEnds = Math.max(suspect.mAnnouncedEnds, suspect.observedEnds());
            mOutput.sendToAll(suspect.verdict(mSettings, nowNanos));
        }
    }

    private void expireRejection(CrashSuspect suspect) {
        suspect.discardBefore(suspect.mRejectedUntilNanos);
    }

    private void clear(CrashSuspect suspect, CrashView.State newState, long nowNanos) {
        boolean wasReported = suspect.mIsRejected || suspect.mAnnouncedEnds > 0;
        suspect.clear(nowNanos);
        if (wasReported) {
            mOutput.viewChanged(suspect.view(newState, nowNanos));
        }
    }

    /**
     * Sends a clearance to all instances that a suspicion was reported to, whether or not they
     * relied on it.
     */
    private void sendClearance(CrashSuspect suspect) {
        CrashMessage.Clearance clearance = new CrashMessage.Clearance(suspect.request());
        if (suspect.mIsRejected || suspect.mAnnouncedEnds > 0 || suspect.verdictReporters() > 0) {
            mOutput.sendToAll(clearance);
        } else {
            mOutput.sendToAggregators(clearance);
        }
    }

    /** Returns the state of a request at the current time, or {@code null} if it is not tracked. */
    private CrashSuspect current(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = mSuspects.get(request);
        if (suspect == null) {
            return null;
        }
        if (suspect.mIsRejected && nowNanos - suspect.mRejectedUntilNanos >= 0) {
            expireRejection(suspect);
            mOutput.viewChanged(suspect.view(CrashView.State.ON_TRIAL, nowNanos));
        }
        rejectIfProven(suspect, nowNanos);
        if (!suspect.mIsRejected && isExpired(suspect, nowNanos)) {
            mSuspects.remove(request);
            return null;
        }
        return suspect;
    }

    /**
     * Determines whether a request need not be tracked any longer. One that was rejected is tracked
     * after its rejection for as long as that lasted, others for the time for which an end is
     * counted.
     */
    private boolean isExpired(CrashSuspect suspect, long nowNanos) {
        if (suspect.mRejections > 0) {
            return nowNanos - suspect.mRejectedUntilNanos > suspect.rejectionNanos(mSettings);
        }
        suspect.serverEnds().removeBefore(nowNanos - mSettings.memory().toNanos());
        return nowNanos - suspect.mLastUpdateNanos > mSettings.memory().toNanos();
    }

    private CrashSuspect track(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = current(request, nowNanos);
        return suspect != null ? suspect : mSuspects.add(request, nowNanos);
    }
}
