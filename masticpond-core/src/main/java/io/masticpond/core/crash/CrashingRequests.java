package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Finds requests that end each backend server that runs them, whichever instance they come to, and
 * keeps them from further servers.
 *
 * <p>Each instance reports the ends that it sees to a few keepers of the request, the same for all
 * instances, who put them together. From two ends in a row on, all are told: the request is then
 * suspected and not sent a second time by itself. From {@link CrashSettings#ends} on it is rejected
 * everywhere. An instance believes what it saw itself, or what two others concluded, so that one
 * broken instance rejects nothing. An answer by any server ends it at once, an operator at any
 * time; else it is tried again after a time that doubles each time.
 *
 * <p>Touched by one thread only.
 *
 * @since 0.2
 */
public final class CrashingRequests {

    /** Rejected requests told in one message of {@link #rejections}, which fits into a datagram. */
    static final int MAXIMUM_REJECTIONS_PER_MESSAGE = 36;

    private static final int ENDS_ON_TRIAL = 1;

    /**
     * All know of a suspicion, and a busy request that does no harm has been answered somewhere,
     * after this time; sends of one that does are few within it.
     */
    private static final long ANSWERED_WITHIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Ten doublings of two hours are beyond any process's life. */
    private static final int MAXIMUM_DOUBLINGS = 10;

    /** Who still tells of a request that was cleared is answered so often at most. */
    private static final long CLEAR_AGAIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final String OWN = "";

    private CrashSettings mSettings;
    private final CrashOutput mOutput;
    private final CrashSuspects mSuspects = new CrashSuspects();

    /**
     * Starts with nothing known.
     *
     * @param settings when a request counts as one that ends servers
     * @param output takes what is to be told
     */
    public CrashingRequests(CrashSettings settings, CrashOutput output) {
        mSettings = Assert.notNull(settings, "Settings of crashing requests");
        mOutput = Assert.notNull(output, "An output of crashing requests");
    }

    /**
     * Takes other settings; what is rejected already stays so for as long as it was to.
     *
     * @param settings the settings
     */
    public void applySettings(CrashSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of crashing requests");
    }

    /**
     * Tells whether nothing is known of any request, so that none has to be looked up.
     *
     * @return whether it is so
     */
    public boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    /**
     * Tells whether a request may be followed, by its checksum alone.
     *
     * @param checksum the checksum of its fingerprint
     * @return false if it certainly is not
     */
    public boolean mightContain(int checksum) {
        return mSuspects.has(checksum);
    }

    /**
     * Tells for how long a request is rejected.
     *
     * @param request the request
     * @param nowNanos the monotonic time
     * @return nanoseconds, 0 if it is not
     */
    public long rejectedForNanos(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = current(request, nowNanos);
        return suspect != null && suspect.mIsRejected ? suspect.mHeldUntilNanos - nowNanos : 0;
    }

    /**
     * Tells whether a request is better not sent a second time by this instance.
     *
     * @param request the request
     * @param nowNanos the monotonic time
     * @return whether it is suspected or rejected
     */
    public boolean isSuspected(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = current(request, nowNanos);
        return suspect != null && (suspect.mIsRejected || suspect.ends() >= suspicion(suspect));
    }

    /**
     * Takes that a server ended while it had a request of this instance.
     *
     * @param request the request
     * @param serverHash the hash of the server's id
     * @param sentNanos the monotonic time at which it was sent there
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
     * Takes what another instance tells.
     *
     * @param teller names the other instance
     * @param message what it tells
     * @param nowNanos the monotonic time
     */
    public void receive(String teller, CrashMessage message, long nowNanos) {
        Assert.hasText(teller, "The name of a teller");
        if (message instanceof CrashMessage.ServerEnd end) {
            add(teller, end, nowNanos);
        } else if (message instanceof CrashMessage.Verdict verdict) {
            receiveVerdict(teller, verdict, nowNanos);
        } else {
            CrashSuspect suspect = mSuspects.get(message.request());
            if (suspect != null) {
                clear(suspect, CrashView.State.ANSWERED, nowNanos);
            }
        }
    }

    /**
     * Takes that a server answered a request, so that it does not end each one.
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
     * @return whether anything was known of it
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
     * Gives what is rejected here, for an instance that may not know; it is to be told again and
     * again, since messages are lost and instances start.
     *
     * @param nowNanos the monotonic time
     * @return some of it, the rest the next times
     */
    public List<CrashMessage> rejections(long nowNanos) {
        List<CrashMessage> told = new ArrayList<>();
        List<CrashSuspect> again = new ArrayList<>();
        for (CrashSuspect suspect : mSuspects.all()) {
            if (current(suspect.request(), nowNanos) == suspect
                    && suspect.mIsRejected
                    && told.size() < MAXIMUM_REJECTIONS_PER_MESSAGE) {
                told.add(verdict(suspect, nowNanos));
                again.add(suspect);
            }
        }
        again.forEach(mSuspects::moveToEnd);
        return told;
    }

    /**
     * Tells what is believed of each request that is followed.
     *
     * @param nowNanos the monotonic time
     * @return the beliefs, the rejected ones first
     */
    public List<CrashView> views(long nowNanos) {
        List<CrashView> beliefs = new ArrayList<>();
        for (CrashSuspect suspect : mSuspects.all()) {
            if (current(suspect.request(), nowNanos) == suspect) {
                beliefs.add(suspect.view(suspect.state(), nowNanos));
            }
        }
        beliefs.sort(
                Comparator.comparing((CrashView each) -> each.remainingNanos() == 0)
                        .thenComparing(each -> -each.ends()));
        return beliefs;
    }

    private void add(String reporter, CrashMessage.ServerEnd end, long nowNanos) {
        long endedNanos = nowNanos - end.endedAgoNanos();
        CrashSuspect suspect = track(end.request(), nowNanos);
        if (suspect.wasClearedAfter(endedNanos)) {
            return;
        }
        suspect.serverEnds()
                .add(reporter, end.serverHash(), nowNanos - end.sentAgoNanos(), endedNanos);
        conclude(suspect, nowNanos);
    }

    private void receiveVerdict(String teller, CrashMessage.Verdict verdict, long nowNanos) {
        CrashSuspect suspect = track(verdict.request(), nowNanos);
        if (suspect.wasClearedAfter(nowNanos - verdict.agoNanos())) {
            if (nowNanos - suspect.mTouchedNanos >= CLEAR_AGAIN_NANOS) {
                suspect.mTouchedNanos = nowNanos;
                mOutput.sendToAll(new CrashMessage.Clearance(verdict.request()));
            }
            return;
        }
        boolean isOld = !suspect.mIsRejected && verdict.rejections() <= suspect.mRejections;
        if (isOld && verdict.rejections() > 0) {
            return;
        }
        suspect.addVerdict(teller, verdict, nowNanos);
        conclude(suspect, nowNanos);
    }

    /** Decides anew, and tells all what the marks here show. */
    private void conclude(CrashSuspect suspect, long nowNanos) {
        suspect.mTouchedNanos = nowNanos;
        rejectIfProven(suspect, nowNanos);
        int seen = suspect.seenEnds();
        if (seen > suspect.mAnnounced && (seen >= suspicion(suspect) || suspect.mIsRejected)) {
            suspect.mAnnounced = seen;
            mOutput.sendToAll(verdict(suspect, nowNanos));
            if (!suspect.mIsRejected) {
                mOutput.viewChanged(suspect.view(suspect.state(), nowNanos));
            }
        }
    }

    private void rejectIfProven(CrashSuspect suspect, long nowNanos) {
        if (suspect.mIsRejected) {
            return;
        }
        suspect.forgetSuspicions(nowNanos);
        int ends = suspect.ends();
        suspect.suspected(ends >= CrashSuspect.SUSPICIOUS_ENDS, nowNanos);
        // A suspicion that others told may have been overtaken by the news that it is over.
        boolean isProven =
                suspect.mRejections > 0
                        ? ends >= ENDS_ON_TRIAL
                        : suspect.seenEnds() >= mSettings.ends()
                                && suspect.isSuspectedFor(ANSWERED_WITHIN_NANOS, nowNanos);
        if (isProven || suspect.isReportedRejected()) {
            reject(suspect, nowNanos);
        }
    }

    /** A trial is one send: what ends a server then is not sent to a second. */
    private static int suspicion(CrashSuspect suspect) {
        return suspect.mRejections > 0 ? 0 : CrashSuspect.SUSPICIOUS_ENDS;
    }

    private void reject(CrashSuspect suspect, long nowNanos) {
        boolean isOwn = !suspect.isReportedRejected();
        suspect.mRejections = Math.max(suspect.mRejections + 1, suspect.reportedRejections());
        suspect.mIsRejected = true;
        suspect.mRejectedNanos = nowNanos - (isOwn ? 0 : suspect.reportedAgoNanos());
        suspect.mHeldUntilNanos = suspect.mRejectedNanos + holdNanos(suspect);
        if (suspect.mHeldUntilNanos - nowNanos <= 0) {
            endOfHold(suspect);
            return;
        }
        mOutput.viewChanged(suspect.view(CrashView.State.REJECTED, nowNanos));
        if (isOwn) {
            suspect.mAnnounced = Math.max(suspect.mAnnounced, suspect.seenEnds());
            mOutput.sendToAll(verdict(suspect, nowNanos));
        }
    }

    private long holdNanos(CrashSuspect suspect) {
        int doublings = Math.min(MAXIMUM_DOUBLINGS, suspect.mRejections - 1);
        return mSettings.hold().toNanos() << doublings;
    }

    private void endOfHold(CrashSuspect suspect) {
        suspect.forget(suspect.mHeldUntilNanos);
    }

    private void clear(CrashSuspect suspect, CrashView.State why, long nowNanos) {
        boolean mattered = suspect.mIsRejected || suspect.mAnnounced > 0;
        suspect.clear(nowNanos);
        if (mattered) {
            mOutput.viewChanged(suspect.view(why, nowNanos));
        }
    }

    /** Whoever was told of a suspicion, believed or not, hears that it is over. */
    private void sendClearance(CrashSuspect suspect) {
        CrashMessage.Clearance clearance = new CrashMessage.Clearance(suspect.request());
        if (suspect.mIsRejected || suspect.mAnnounced > 0 || suspect.verdictReporters() > 0) {
            mOutput.sendToAll(clearance);
        } else {
            mOutput.sendToAggregators(clearance);
        }
    }

    /** Finds what is known of a request, as time has changed it; null if nothing is. */
    private CrashSuspect current(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = mSuspects.get(request);
        if (suspect == null) {
            return null;
        }
        if (suspect.mIsRejected && nowNanos - suspect.mHeldUntilNanos >= 0) {
            endOfHold(suspect);
            mOutput.viewChanged(suspect.view(CrashView.State.ON_TRIAL, nowNanos));
        }
        rejectIfProven(suspect, nowNanos);
        if (!suspect.mIsRejected && isOver(suspect, nowNanos)) {
            mSuspects.remove(request);
            return null;
        }
        return suspect;
    }

    /** What was rejected is remembered for as long again, all else for a while. */
    private boolean isOver(CrashSuspect suspect, long nowNanos) {
        if (suspect.mRejections > 0) {
            return nowNanos - suspect.mHeldUntilNanos > holdNanos(suspect);
        }
        suspect.serverEnds().forgetBefore(nowNanos - mSettings.memory().toNanos());
        return nowNanos - suspect.mTouchedNanos > mSettings.memory().toNanos();
    }

    private CrashSuspect track(RequestFingerprint request, long nowNanos) {
        CrashSuspect suspect = current(request, nowNanos);
        return suspect != null ? suspect : mSuspects.add(request, nowNanos);
    }

    private CrashMessage.Verdict verdict(CrashSuspect suspect, long nowNanos) {
        long sinceNanos = suspect.mIsRejected ? suspect.mRejectedNanos : nowNanos;
        return new CrashMessage.Verdict(
                suspect.request(),
                suspect.mIsRejected ? Math.max(mSettings.ends(), suspect.ends()) : suspect.ends(),
                suspect.mIsRejected ? suspect.mRejections : 0,
                Math.max(0, nowNanos - sinceNanos));
    }
}
