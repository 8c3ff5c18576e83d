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
 * Exchange, in batches, of the loads of backend servers between the request path and the instances
 * of the own availability zone.
 */
@Singleton
final class LoadSharing {

    /** The delay of a batch per receiver, which allows at most 50 datagrams a second. */
    private static final long MILLIS_PER_RECEIVER = 20;

    /** A shorter delay has no benefit, since queues last a second or two. */
    private static final long MINIMUM_DELAY_MILLIS = 100;

    /**
     * With a longer delay, a queue may be empty before its report arrives. Larger zones send more
     * datagrams instead.
     */
    private static final long MAXIMUM_DELAY_MILLIS = 500;

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

    /** Starts sending and receiving. */
    void start() {
        mPeers.registerReceiver(
                LoadReportCodec.VERSION,
                (sender, content) -> {
                    List<LoadReport> reports = LoadReportCodec.read(content);
                    mTraffic.execute(() -> receive(reports));
                });
        mTraffic.execute(() -> shared().setPendingListener(this::scheduleSend));
    }

    private SharedLoads shared() {
        return mFlow.placer().sharedLoads();
    }

    private void receive(List<LoadReport> reports) {
        shared().receive(mFlow.servers(), reports, mTimeSource.monotonicNanos());
    }

    private void scheduleSend() {
        long delay = MILLIS_PER_RECEIVER * (mPeers.ownZone().size() - 1);
        delay = Math.max(MINIMUM_DELAY_MILLIS, Math.min(MAXIMUM_DELAY_MILLIS, delay));
        mTraffic.schedule(this::send, delay, TimeUnit.MILLISECONDS);
    }

    private void send() {
        List<LoadReport> reports = shared().take();
        mControl.execute(
                () ->
                        mPeers.sendDatagram(
                                mPeers.ownZone(), out -> LoadReportCodec.write(reports, out)));
    }
}
