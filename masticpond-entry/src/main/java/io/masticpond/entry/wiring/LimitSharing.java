package io.masticpond.entry.wiring;

import io.masticpond.core.id.ZoneId;
import io.masticpond.core.serverlimit.LimitReport;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.LimitReportCodec;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.request.ServerLimitGate;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Carries the limits that backend servers name between instances. A change is told at once to the
 * own zone and to two instances of each other zone, who pass it on; besides, each tells one other
 * in turn what it knows, which mends what was lost.
 */
@Singleton
final class LimitSharing {

    /** The servers of a service name their limits at about the same time. */
    private static final long BUNDLE_MILLIS = 100;

    /** A bundle waits so long for each instance that gets it: 50 datagrams a second at most. */
    private static final long MILLIS_FOR_EACH = 20;

    private static final long LOOK_MILLIS = 250;

    /** One may be down without having been noticed. */
    private static final int RELAYS = 2;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final RequestFlow mFlow;
    private final ServerLimitGate mLimits;
    private final HeartbeatService mPeers;
    private final PeerInstance mSelf;
    private final AntiEntropyTargets mTargets;
    private final Map<Long, LimitReport> mWaiting = new HashMap<>();
    private boolean mIsPlanned;

    @Inject
    LimitSharing(
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            RequestFlow flow,
            HeartbeatService peers,
            PeerInstance self) {
        mTraffic = traffic;
        mControl = control;
        mFlow = flow;
        mLimits = flow.statements().limits();
        mPeers = peers;
        mSelf = self;
        mTargets = new AntiEntropyTargets(self.id());
    }

    /** Begins to tell and to hear. */
    void start() {
        mPeers.registerReceiver(
                LimitReportCodec.VERSION,
                (sender, content) -> {
                    LimitReportCodec.Content told = LimitReportCodec.read(content);
                    mTraffic.execute(() -> receive(told));
                });
        mTraffic.execute(() -> mLimits.publishTo(report -> mControl.execute(() -> add(report))));
        mTraffic.scheduleWithFixedDelay(
                this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void receive(LimitReportCodec.Content told) {
        List<LimitReport> news = mLimits.received(mFlow.servers(), told.reports());
        if (told.forward() && !news.isEmpty()) {
            mControl.execute(() -> send(mPeers.ownZone(), false, news));
        }
    }

    private void look() {
        mFlow.statements().refresh();
        List<LimitReport> reports = mLimits.reports();
        if (!reports.isEmpty()) {
            mControl.execute(() -> send(mTargets.select(mPeers.alive()), false, reports));
        }
    }

    private void add(LimitReport report) {
        mWaiting.put(report.serverHash(), report);
        if (!mIsPlanned) {
            mIsPlanned = true;
            mControl.schedule(this::sendPending, BUNDLE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Tells what waits; the next bundle may follow when this one's datagrams are paid for. */
    private void sendPending() {
        if (mWaiting.isEmpty()) {
            mIsPlanned = false;
            return;
        }
        List<LimitReport> reports = List.copyOf(mWaiting.values());
        mWaiting.clear();
        List<PeerInstance> relays = relays();
        List<PeerInstance> zone = mPeers.ownZone();
        send(zone, false, reports);
        send(relays, true, reports);
        long rest = MILLIS_FOR_EACH * (zone.size() + relays.size());
        mControl.schedule(this::sendPending, rest, TimeUnit.MILLISECONDS);
    }

    private List<PeerInstance> relays() {
        Map<ZoneId, List<PeerInstance>> zones = new HashMap<>();
        for (PeerInstance each : mPeers.alive()) {
            if (!each.zone().equals(mSelf.zone())) {
                zones.computeIfAbsent(each.zone(), zone -> new ArrayList<>()).add(each);
            }
        }
        List<PeerInstance> relays = new ArrayList<>();
        zones.forEach(
                (zone, members) ->
                        relays.addAll(PeerOrder.first("limits/" + zone.value(), members, RELAYS)));
        return relays;
    }

    private void send(List<PeerInstance> hearers, boolean passOn, List<LimitReport> reports) {
        for (int from = 0; from < reports.size(); from += LimitReportCodec.MAXIMUM_REPORTS) {
            int to = Math.min(reports.size(), from + LimitReportCodec.MAXIMUM_REPORTS);
            LimitReportCodec.Content content =
                    new LimitReportCodec.Content(passOn, reports.subList(from, to));
            mPeers.sendDatagram(hearers, out -> LimitReportCodec.write(content, out));
        }
    }
}
