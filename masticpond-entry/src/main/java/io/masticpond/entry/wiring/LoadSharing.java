package io.masticpond.entry.wiring;

import io.masticpond.core.placement.LoadReport;
import io.masticpond.core.placement.SharedLoads;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.LoadReportCodec;
import io.masticpond.entry.request.RequestFlow;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Carries loads of backend servers between the request path and the instances of the own
 * availability zone, in bundles.
 */
@Singleton
final class LoadSharing {

    /** A bundle waits so long for each instance that gets it: 50 datagrams a second at most. */
    private static final long MILLIS_FOR_EACH = 20;

    /** Waiting less brings nothing: queues last a second or two. */
    private static final long MINIMUM_MILLIS = 100;

    /** Beyond this a queue may be over when it is heard of; larger zones send more datagrams. */
    private static final long MAXIMUM_MILLIS = 500;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final RequestFlow mFlow;
    private final HeartbeatService mPeers;
    private final TimeSource mTimeSource;

    @Inject
    LoadSharing(
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            RequestFlow flow,
            HeartbeatService peers,
            TimeSource timeSource) {
        mTraffic = traffic;
        mControl = control;
        mFlow = flow;
        mPeers = peers;
        mTimeSource = timeSource;
    }

    /** Begins to tell and to hear. */
    void start() {
        mPeers.registerReceiver(
                LoadReportCodec.VERSION,
                (sender, content) -> {
                    List<LoadReport> reports = LoadReportCodec.read(content);
                    mTraffic.execute(() -> receive(reports));
                });
        mTraffic.execute(() -> shared().setPendingListener(this::plan));
    }

    private SharedLoads shared() {
        return mFlow.placer().sharedLoads();
    }

    private void receive(List<LoadReport> reports) {
        shared().receive(mFlow.servers(), reports, mTimeSource.monotonicNanos());
    }

    private void plan() {
        long wait = MILLIS_FOR_EACH * (mPeers.ownZone().size() - 1);
        wait = Math.max(MINIMUM_MILLIS, Math.min(MAXIMUM_MILLIS, wait));
        mTraffic.schedule(this::send, wait, TimeUnit.MILLISECONDS);
    }

    private void send() {
        List<LoadReport> reports = shared().take();
        mControl.execute(
                () ->
                        mPeers.sendDatagram(
                                mPeers.ownZone(), out -> LoadReportCodec.write(reports, out)));
    }
}
