package io.masticpond.entry.wiring;

import io.masticpond.core.crash.CrashMessage;
import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.entry.peer.CrashMessageCodec;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.request.CrashGuard;
import io.masticpond.entry.request.RequestFlow;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Exchange, by datagrams between instances, of what they know of requests during which backend
 * servers terminate. The aggregators of a request follow from its fingerprint, so that all
 * instances agree on them without a query.
 */
@Singleton
final class CrashSharing {

    /**
     * One aggregator may be down, or assumed to be down by some instances, and a second one
     * confirms what the first reports.
     */
    private static final int AGGREGATORS = 2;

    /**
     * An additional aggregator in the own zone, since a zone that is cut off continues on its own.
     */
    private static final int AGGREGATORS_IN_ZONE = 1;

    /** Batches the requests that the termination of one server interrupted. */
    private static final long BATCH_MILLIS = 10;

    /**
     * An instance that starts gets a report within this time of its first heartbeat, before clients
     * connect to it.
     */
    private static final long REPORT_PERIOD_MILLIS = 250;

    /**
     * The maximum number of messages pending for an instance, three datagrams; further ones are
     * dropped.
     */
    private static final int MAXIMUM_PENDING = 3 * CrashMessageCodec.MAXIMUM_MESSAGES;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final CrashGuard mGuard;
    private final HeartbeatService mPeers;
    private final Map<PeerInstance, List<CrashMessage>> mPending = new HashMap<>();
    private final AntiEntropyTargets mTargets;

    @Inject
    CrashSharing(
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            RequestFlow flow,
            HeartbeatService peers,
            PeerInstance self) {
        mTraffic = traffic;
        mControl = control;
        mGuard = flow.crashGuard();
        mPeers = peers;
        mTargets = new AntiEntropyTargets(self.id());
    }

    /** Starts sending and receiving. */
    void start() {
        mPeers.registerReceiver(
                CrashMessageCodec.VERSION,
                (sender, content) -> {
                    List<CrashMessage> messages = CrashMessageCodec.read(content);
                    mTraffic.execute(() -> mGuard.receive(sender.toString(), messages));
                });
        mTraffic.execute(
                () ->
                        mGuard.setMessageSender(
                                (message, toAll) -> mControl.execute(() -> add(message, toAll))));
        mTraffic.scheduleWithFixedDelay(
                this::reportRejections,
                REPORT_PERIOD_MILLIS,
                REPORT_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void reportRejections() {
        List<CrashMessage> rejections = mGuard.rejections();
        if (!rejections.isEmpty()) {
            mControl.execute(
                    () ->
                            mPeers.sendDatagram(
                                    mTargets.select(mPeers.alive()),
                                    out -> CrashMessageCodec.write(rejections, out)));
        }
    }

    private void add(CrashMessage message, boolean toAll) {
        if (mPending.isEmpty()) {
            mControl.schedule(this::sendPending, BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
        for (PeerInstance receiver : toAll ? mPeers.alive() : aggregators(message.request())) {
            List<CrashMessage> pending =
                    mPending.computeIfAbsent(receiver, each -> new ArrayList<>());
            if (pending.size() < MAXIMUM_PENDING) {
                pending.add(message);
            }
        }
    }

    private Set<PeerInstance> aggregators(RequestFingerprint request) {
        Set<PeerInstance> selected = new LinkedHashSet<>();
        selected.addAll(PeerOrder.first(request.toString(), mPeers.alive(), AGGREGATORS));
        selected.addAll(PeerOrder.first(request.toString(), mPeers.ownZone(), AGGREGATORS_IN_ZONE));
        return selected;
    }

    private void sendPending() {
        mPending.forEach(
                (receiver, messages) -> {
                    // An instance of a version without refutations ignores what follows one.
                    messages.sort(
                            Comparator.comparing(
                                    message -> message instanceof CrashMessage.Refutation));
                    for (int from = 0; from < messages.size(); ) {
                        int to =
                                Math.min(
                                        messages.size(), from + CrashMessageCodec.MAXIMUM_MESSAGES);
                        List<CrashMessage> part = messages.subList(from, to);
                        mPeers.sendDatagram(
                                List.of(receiver), out -> CrashMessageCodec.write(part, out));
                        from = to;
                    }
                });
        mPending.clear();
    }
}
