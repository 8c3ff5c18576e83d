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
 * Exchange of the limits that backend servers state between instances. A change is reported at once
 * to the own zone and to two instances of each other zone, which forward it in their zone. In
 * addition, each instance reports all limits that it knows to one other in turn, which compensates
 * for lost datagrams.
 */
@Singleton
final class LimitSharing {

    /**
     * Batches the changes, since the servers of a service state their limits at about the same
     * time.
     */
    private static final long BATCH_MILLIS = 100;

    /**
     * The delay of the next batch per receiver of this one, which allows at most 50 datagrams a
     * second.
     */
    private static final long MILLIS_PER_RECEIVER = 20;

    private static final long REPORT_PERIOD_MILLIS = 250;

    /** One relay may be down without having been detected. */
    private static final int RELAYS = 2;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final RequestFlow mFlow;
    private final ServerLimitGate mLimits;
    private final HeartbeatService mPeers;
    private final PeerInstance mSelf;
    private final AntiEntropyTargets mTargets;
    private final Map<Long, LimitReport> mPending = new HashMap<>();
    private boolean mIsSendScheduled;

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

    /** Starts sending and receiving. */
    void start() {
        mPeers.registerReceiver(
                LimitReportCodec.VERSION,
                (sender, content) -> {
                    LimitReportCodec.Content decoded = LimitReportCodec.read(content);
                    mTraffic.execute(() -> receive(decoded));
                });
        mTraffic.execute(
                () -> mLimits.setReportListener(report -> mControl.execute(() -> add(report))));
        mTraffic.scheduleWithFixedDelay(
                this::reportKnown,
                REPORT_PERIOD_MILLIS,
                REPORT_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void receive(LimitReportCodec.Content decoded) {
        List<LimitReport> updates = mLimits.applyReports(mFlow.servers(), decoded.reports());
        if (decoded.forward() && !updates.isEmpty()) {
            mControl.execute(() -> send(mPeers.ownZone(), false, updates));
        }
    }

    private void reportKnown() {
        mFlow.statements().refresh();
        List<LimitReport> reports = mLimits.reports();
        if (!reports.isEmpty()) {
            mControl.execute(() -> send(mTargets.select(mPeers.alive()), false, reports));
        }
    }

    private void add(LimitReport report) {
        mPending.put(report.serverHash(), report);
        if (!mIsSendScheduled) {
            mIsSendScheduled = true;
            mControl.schedule(this::sendPending, BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends the pending reports. The next batch may follow once the rate limit covers the datagrams
     * of this one.
     */
    private void sendPending() {
        if (mPending.isEmpty()) {
            mIsSendScheduled = false;
            return;
        }
        List<LimitReport> reports = List.copyOf(mPending.values());
        mPending.clear();
        List<PeerInstance> relays = relays();
        List<PeerInstance> zone = mPeers.ownZone();
        send(zone, false, reports);
        send(relays, true, reports);
        long delay = MILLIS_PER_RECEIVER * (zone.size() + relays.size());
        mControl.schedule(this::sendPending, delay, TimeUnit.MILLISECONDS);
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

    private void send(List<PeerInstance> receivers, boolean forward, List<LimitReport> reports) {
        for (int from = 0; from < reports.size(); from += LimitReportCodec.MAXIMUM_REPORTS) {
            int to = Math.min(reports.size(), from + LimitReportCodec.MAXIMUM_REPORTS);
            LimitReportCodec.Content content =
                    new LimitReportCodec.Content(forward, reports.subList(from, to));
            mPeers.sendDatagram(receivers, out -> LimitReportCodec.write(content, out));
        }
    }
}
