package io.masticpond.entry.request;

import io.masticpond.core.crash.CrashMessage;
import io.masticpond.core.crash.CrashOutput;
import io.masticpond.core.crash.CrashSettings;
import io.masticpond.core.crash.CrashView;
import io.masticpond.core.crash.CrashingRequests;
import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.support.Assert;
import io.masticpond.core.support.HashMixer;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.BackendConnections;
import io.masticpond.entry.backend.ServerReachability;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ViewChange;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;

/**
 * Guard that keeps requests which crash the servers that run them away from further servers. It
 * combines the requests that broke off at this instance, the reports of other instances, and the
 * requests that arrive. For use on the traffic thread only.
 *
 * @since 0.2
 */
public final class CrashGuard {

    /**
     * Maximum number of connections that verify reported ends at a time. Further ends count without
     * verification.
     */
    private static final int MAXIMUM_VERIFICATIONS = 32;

    private final TimeSource mTimeSource;
    private final DecisionLog mLog;
    private final ServerChecks mChecks;
    private final ServerBodies mBodies;
    private final Fingerprints mFingerprints = new Fingerprints();
    private final CrashingRequests mRequests;
    private final Consumer<RequestFingerprint> mRejectionListener;
    private final BackendConnections mConnections;
    private final LongFunction<Optional<RegisteredServer>> mServerLookup;
    private CrashMessageSender mMessageSender = CrashMessageSender.NONE;
    private Consumer<RegisteredServer> mServerEndListener = server -> {};
    private int mVerifications;
    private long mServerEnds;

    CrashGuard(
            EventLoop eventLoop,
            TimeSource timeSource,
            BackendConnections connections,
            Function<ServiceId, ReachabilityState> reachability,
            LongFunction<Optional<RegisteredServer>> serverLookup,
            DecisionLog log,
            Consumer<RequestFingerprint> rejectionListener) {
        mTimeSource = timeSource;
        mLog = log;
        mConnections = connections;
        mServerLookup = serverLookup;
        mChecks =
                new ServerChecks(
                        eventLoop,
                        timeSource,
                        connections,
                        reachability,
                        log,
                        new CheckedServers());
        mBodies = new ServerBodies(timeSource, log);
        mRequests = new CrashingRequests(CrashSettings.DEFAULT, new Output());
        mRejectionListener = rejectionListener;
    }

    /**
     * Sets the sender of messages to the other instances.
     *
     * @param sender the sender
     */
    public void setMessageSender(CrashMessageSender sender) {
        mMessageSender = Assert.notNull(sender, "A message sender");
    }

    /**
     * Sets the listener for servers that terminated, as a refused connection showed.
     *
     * @param listener the listener, called on the traffic thread
     */
    public void setServerEndListener(Consumer<RegisteredServer> listener) {
        mServerEndListener = Assert.notNull(listener, "A listener");
    }

    /**
     * Replaces the settings. Applies to later decisions only.
     *
     * @param settings the settings
     */
    public void applySettings(CrashSettings settings) {
        mRequests.applySettings(settings);
    }

    /**
     * Processes the messages of another instance.
     *
     * @param reporter the name of the other instance
     * @param messages the messages
     */
    public void receive(String reporter, List<CrashMessage> messages) {
        messages.forEach(message -> mRequests.receive(reporter, message, now()));
    }

    /**
     * Returns the rejections of this instance, to be reported to an instance that may not know
     * them.
     *
     * @return some of the rejections; further calls return the others
     */
    public List<CrashMessage> rejections() {
        return mRequests.rejections(now());
    }

    /**
     * Releases a request at this instance and at all others.
     *
     * @param request the request
     * @return whether anything was known of the request
     */
    public boolean release(RequestFingerprint request) {
        return mRequests.release(request, now());
    }

    /**
     * Returns the state of each request that is tracked.
     *
     * @return the views, those of rejected requests first
     */
    public List<CrashView> views() {
        return mRequests.views(now());
    }

    /**
     * Returns the number of server ends that this instance observed, counted once for each request
     * that the server had.
     *
     * @return the count since the start of this instance
     */
    public long serverEnds() {
        return mServerEnds;
    }

    /** Returns the gate of the request bodies in flight to each server. */
    ServerBodies bodies() {
        return mBodies;
    }

    RequestFingerprint fingerprint(IncomingRequest request) {
        return mFingerprints.of(request);
    }

    /** Determines whether any request is tracked, so that arriving requests have to be checked. */
    boolean isTrackingAny() {
        return !mRequests.isEmpty();
    }

    /**
     * Determines whether a request may be tracked, at a hundredth of the cost of its fingerprint.
     */
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

    void recordAnswer(RequestFingerprint request) {
        mRequests.answered(request, now());
    }

    void recordBrokenOff(RegisteredServer server, ServerChecks.Request request) {
        mChecks.add(server, request);
    }

    /** Records that a connection to a server failed which carried no request. */
    void recordConnectionFailed(RegisteredServer server) {
        mChecks.add(server);
    }

    /** Records that a server reset an idle connection. */
    void recordIdleReset(RegisteredServer server) {
        mChecks.addIfFew(server);
    }

    private long now() {
        return mTimeSource.monotonicNanos();
    }

    /** Listener that passes on which servers ended and which requests they had. */
    private final class CheckedServers implements ServerChecks.Listener {

        @Override
        public void onServerEnded(RegisteredServer server) {
            mServerEndListener.accept(server);
        }

        @Override
        public void onRequestEnded(RegisteredServer server, ServerChecks.Request request) {
            mServerEnds++;
            mBodies.terminated(server);
            mRequests.addServerEnd(
                    request.fingerprint(),
                    HashMixer.hash(server.id().value()),
                    request.sentNanos(),
                    request.endedNanos(),
                    now());
        }
    }

    /** Output that sends the messages and logs the view changes of the crash decisions. */
    private final class Output implements CrashOutput {

        @Override
        public void sendToAggregators(CrashMessage message) {
            mMessageSender.send(message, false);
        }

        @Override
        public void sendToAll(CrashMessage message) {
            mMessageSender.send(message, true);
        }

        @Override
        public void verify(CrashMessage.ServerEnd end) {
            mServerLookup.apply(end.serverHash()).ifPresent(server -> verify(end, server));
        }

        private void verify(CrashMessage.ServerEnd end, RegisteredServer server) {
            if (mVerifications >= MAXIMUM_VERIFICATIONS) {
                return;
            }
            mVerifications++;
            long receivedNanos = now();
            mConnections.check(
                    server,
                    reachability -> {
                        mVerifications--;
                        if (reachability == ServerReachability.OPEN) {
                            mRequests.refute(end, receivedNanos, now());
                        }
                    });
        }

        @Override
        public void viewChanged(CrashView view) {
            mLog.viewChanged(new ViewChange.CrashingRequest(view));
            if (view.state() == CrashView.State.REJECTED) {
                mRejectionListener.accept(view.request());
            }
        }
    }
}
