package io.masticpond.entry.wiring;

import io.masticpond.core.placement.LoadReport;
import io.masticpond.core.placement.SharedLoads;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.LoadReportCodec;
import io.masticpond.entry.request.RequestFlow;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
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
        mPeers.registerReceiver(
                LoadReportCodec.TIMED_VERSION,
                (sender, content) -> {
                    List<LoadReport> reports = LoadReportCodec.readTimed(content);
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
        Map<Boolean, List<LoadReport>> reports =
                shared().take().stream()
                        .collect(
                                Collectors.partitioningBy(
                                        each -> each.load().timePercent().isPresent()));
        List<LoadReport> timed = reports.get(true);
        List<LoadReport> others = reports.get(false);
        int size = LoadReportCodec.MAXIMUM_TIMED_REPORTS;
        for (int first = 0; first < timed.size(); first += size) {
            List<LoadReport> part = timed.subList(first, Math.min(timed.size(), first + size));
            broadcast(out -> LoadReportCodec.writeTimed(part, out));
        }
        if (!others.isEmpty()) {
            broadcast(out -> LoadReportCodec.write(others, out));
        }
    }

    private void broadcast(Consumer<ByteBuf> writer) {
        mControl.execute(() -> mPeers.sendDatagram(mPeers.ownZone(), writer));
    }
}
