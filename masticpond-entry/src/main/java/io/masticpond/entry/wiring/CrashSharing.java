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
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Carries what instances know of requests under which servers end, by the datagrams between them.
 * The keepers of a request follow from its fingerprint, so that all instances agree without asking.
 */
@Singleton
final class CrashSharing {

    /** One may be down or believed so by some, and a second one proves what the first says. */
    private static final int AGGREGATORS = 2;

    /** A keeper in the own zone besides, since a zone that is cut off goes on by itself. */
    private static final int AGGREGATORS_IN_ZONE = 1;

    /** Requests that one server's end broke off go in one bundle. */
    private static final long BUNDLE_MILLIS = 10;

    /** An instance that starts is told so soon after it is heard, before clients come to it. */
    private static final long LOOK_MILLIS = 250;

    /** Messages that wait for an instance at most, three datagrams; a flood loses the rest. */
    private static final int MAXIMUM_WAITING = 3 * CrashMessageCodec.MAXIMUM_MESSAGES;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final CrashGuard mGuard;
    private final HeartbeatService mPeers;
    private final Map<PeerInstance, List<CrashMessage>> mWaiting = new HashMap<>();
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
        mGuard = flow.crashes();
        mPeers = peers;
        mTargets = new AntiEntropyTargets(self.id());
    }

    /** Begins to tell and to hear. */
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
                this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void look() {
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
        if (mWaiting.isEmpty()) {
            mControl.schedule(this::sendPending, BUNDLE_MILLIS, TimeUnit.MILLISECONDS);
        }
        for (PeerInstance hearer : toAll ? mPeers.alive() : aggregators(message.request())) {
            List<CrashMessage> waiting =
                    mWaiting.computeIfAbsent(hearer, each -> new ArrayList<>());
            if (waiting.size() < MAXIMUM_WAITING) {
                waiting.add(message);
            }
        }
    }

    private Set<PeerInstance> aggregators(RequestFingerprint request) {
        Set<PeerInstance> keepers = new LinkedHashSet<>();
        keepers.addAll(PeerOrder.first(request.toString(), mPeers.alive(), AGGREGATORS));
        keepers.addAll(PeerOrder.first(request.toString(), mPeers.ownZone(), AGGREGATORS_IN_ZONE));
        return keepers;
    }

    private void sendPending() {
        mWaiting.forEach(
                (hearer, messages) -> {
                    for (int from = 0; from < messages.size(); ) {
                        int to =
                                Math.min(
                                        messages.size(), from + CrashMessageCodec.MAXIMUM_MESSAGES);
                        List<CrashMessage> part = messages.subList(from, to);
                        mPeers.sendDatagram(
                                List.of(hearer), out -> CrashMessageCodec.write(part, out));
                        from = to;
                    }
                });
        mWaiting.clear();
    }
}
