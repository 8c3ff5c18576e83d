package io.masticpond.entry.request;

import io.masticpond.core.crash.CrashMessage;
import io.masticpond.core.crash.CrashOutput;
import io.masticpond.core.crash.CrashSettings;
import io.masticpond.core.crash.CrashView;
import io.masticpond.core.crash.CrashingRequests;
import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.support.Assert;
import io.masticpond.core.support.HashMixer;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.BackendConnections;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ViewChange;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps requests that end each server that runs them from further servers: joins what breaks off
 * here, what other instances tell, and the requests that arrive. Traffic thread only.
 *
 * @since 0.2
 */
public final class CrashGuard {

    private final TimeSource mTimeSource;
    private final DecisionLog mLog;
    private final BrokenOffRequests mBrokenOff;
    private final Fingerprints mFingerprints = new Fingerprints();
    private final CrashingRequests mRequests;
    private final Consumer<RequestFingerprint> mWhenRejected;
    private CrashMessageSender mOutlet = CrashMessageSender.NONE;
    private long mEnds;

    CrashGuard(
            EventLoop eventLoop,
            TimeSource timeSource,
            BackendConnections connections,
            DecisionLog log,
            Consumer<RequestFingerprint> whenRejected) {
        mTimeSource = timeSource;
        mLog = log;
        mBrokenOff = new BrokenOffRequests(eventLoop, timeSource, connections, log);
        mRequests = new CrashingRequests(CrashSettings.DEFAULT, new Output());
        mWhenRejected = whenRejected;
    }

    /**
     * Says who carries messages to the other instances.
     *
     * @param outlet carries them
     */
    public void setMessageSender(CrashMessageSender outlet) {
        mOutlet = Assert.notNull(outlet, "An outlet");
    }

    /**
     * Takes other settings, for what is decided after this.
     *
     * @param settings the settings
     */
    public void applySettings(CrashSettings settings) {
        mRequests.applySettings(settings);
    }

    /**
     * Takes what another instance told.
     *
     * @param teller names the other instance
     * @param messages what it told
     */
    public void receive(String teller, List<CrashMessage> messages) {
        messages.forEach(message -> mRequests.receive(teller, message, now()));
    }

    /**
     * Gives what is rejected here, to be told to an instance that may not know.
     *
     * @return some of it, the rest the next times
     */
    public List<CrashMessage> rejections() {
        return mRequests.rejections(now());
    }

    /**
     * Releases a request here and at all other instances.
     *
     * @param request the request
     * @return whether anything was known of it
     */
    public boolean release(RequestFingerprint request) {
        return mRequests.release(request, now());
    }

    /**
     * Tells what is believed of each request that is followed.
     *
     * @return the beliefs, the rejected ones first
     */
    public List<CrashView> views() {
        return mRequests.views(now());
    }

    /**
     * Counts the ends of servers that this instance saw, once for each request that was there.
     *
     * @return how many since the start
     */
    public long ends() {
        return mEnds;
    }

    RequestFingerprint fingerprint(IncomingRequest request) {
        return mFingerprints.of(request);
    }

    /** Tells whether any request is followed, so that others have to be looked at. */
    boolean isTrackingAny() {
        return !mRequests.isEmpty();
    }

    /** Tells whether a request may be followed, at a hundredth of the cost of its fingerprint. */
    boolean mightContain(int checksum) {
        return mRequests.mightContain(checksum);
    }

    int checksum(IncomingRequest request) {
        return mFingerprints.checksum(request);
    }

    long rejectedForNanos(RequestFingerprint request) {
        return mRequests.rejectedForNanos(request, now());
    }

    boolean isSuspected(RequestFingerprint request) {
        return mRequests.isSuspected(request, now());
    }

    void answered(RequestFingerprint request) {
        mRequests.answered(request, now());
    }

    void brokenOff(RegisteredServer server, BrokenOffRequests.Request request) {
        mBrokenOff.add(server, request, this::ended);
    }

    private void ended(RegisteredServer server, BrokenOffRequests.Request request) {
        mEnds++;
        mRequests.addServerEnd(
                request.fingerprint(),
                HashMixer.hash(server.id().value()),
                request.sentNanos(),
                request.endedNanos(),
                now());
    }

    private long now() {
        return mTimeSource.monotonicNanos();
    }

    /** Takes what the decisions have to tell. */
    private final class Output implements CrashOutput {

        @Override
        public void sendToAggregators(CrashMessage message) {
            mOutlet.send(message, false);
        }

        @Override
        public void sendToAll(CrashMessage message) {
            mOutlet.send(message, true);
        }

        @Override
        public void viewChanged(CrashView belief) {
            mLog.viewChanged(new ViewChange.CrashingRequest(belief));
            if (belief.state() == CrashView.State.REJECTED) {
                mWhenRejected.accept(belief.request());
            }
        }
    }
}
