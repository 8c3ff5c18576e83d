package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.placement.LoadReport;
import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.time.ManualTimeSource;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Tests of two instances that exchange datagrams on this machine. */
class HeartbeatServiceTest {

    private static final int OCTET_VALUES = 250;
    private static final Duration STEP = Duration.ofMillis(10);

    /**
     * Loopback address that differs by process id, so that no other process takes a port that was
     * found free.
     */
    private static final String HOST = host(ProcessHandle.current().pid());

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();

    /** Advances only when the test does so, so that no instance is lost by inactivity. */
    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);

    @AfterTry
    void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static String host(long processId) {
        return "127."
                + (1 + processId % OCTET_VALUES)
                + "."
                + (1 + processId / OCTET_VALUES % OCTET_VALUES)
                + ".1";
    }

    private static ServerAddress freeAddress() throws SocketException, UnknownHostException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(HOST))) {
            return new ServerAddress(HOST, socket.getLocalPort());
        }
    }

    private HeartbeatService service(String name, ServerAddress internal, ServerAddress seed) {
        PeerListener listener =
                new PeerListener() {
                    @Override
                    public void onPeerReachable(PeerInstance instance) {
                        mEvents.add(name + " reaches " + instance.id());
                    }

                    @Override
                    public void onPeerUnreachable(InstanceId id, boolean planned) {
                        mEvents.add(name + " lost " + id + " " + planned);
                    }
                };
        HeartbeatService service =
                new HeartbeatService(
                        instance(name, internal),
                        List.of(seed),
                        HeartbeatSettings.DEFAULT,
                        mTime,
                        mGroup.next(),
                        listener);
        assertThat(service.alive()).containsExactly(instance(name, internal));
        return service;
    }

    private static PeerInstance instance(String name, ServerAddress internal) {
        return new PeerInstance(
                new InstanceId(name),
                1,
                new ZoneId("casa-ain"),
                new RegionId("casa"),
                new ServerAddress("127.0.0.1", 8000),
                internal,
                false,
                0);
    }

    @Example
    void instancesReachEachOtherAndAreNotifiedThatOneLeaves() throws Exception {
        ServerAddress first = freeAddress();
        ServerAddress second = freeAddress();
        HeartbeatService one = service("one", first, second);
        HeartbeatService two = service("two", second, first);
        one.start().syncUninterruptibly();
        two.start().syncUninterruptibly();
        two.update(true, 7);
        List<String> received =
                List.of(mEvents.poll(60, TimeUnit.SECONDS), mEvents.poll(60, TimeUnit.SECONDS));
        assertThat(received).containsExactlyInAnyOrder("one reaches two", "two reaches one");
        two.leave();
        two.stop();
        assertThat(nextEventAsTimePasses()).isEqualTo("one lost two true");
        assertThat(one.alive()).hasSize(1);
        assertThat(one.shareholders()).isEqualTo(1);
    }

    @Example
    void loadReportsReachTheZoneBetweenHeartbeats() throws Exception {
        ServerAddress first = freeAddress();
        ServerAddress second = freeAddress();
        HeartbeatService one = service("one", first, second);
        HeartbeatService two = service("two", second, first);
        BlockingQueue<LoadReport> received = new LinkedBlockingQueue<>();
        two.registerReceiver(
                LoadReportCodec.VERSION,
                (sender, content) -> {
                    assertThat(sender).isEqualTo(first);
                    received.addAll(LoadReportCodec.read(content));
                });
        one.start().syncUninterruptibly();
        two.start().syncUninterruptibly();
        assertThat(mEvents.poll(60, TimeUnit.SECONDS)).isNotNull();
        assertThat(mEvents.poll(60, TimeUnit.SECONDS)).isNotNull();
        assertThat(one.ownZone()).hasSize(2);
        LoadReport report = new LoadReport(7, new ReportedLoad(5, 3, 5));
        mGroup.next()
                .execute(
                        () ->
                                one.sendDatagram(
                                        one.ownZone(),
                                        out -> LoadReportCodec.write(List.of(report), out)));
        assertThat(received.poll(60, TimeUnit.SECONDS)).isEqualTo(report);
        assertThat(two.alive()).hasSize(2);
    }

    /**
     * Returns the next event. Advances the time step by step, once the event loop has read what was
     * sent to it.
     */
    private String nextEventAsTimePasses() throws InterruptedException {
        for (int turn = 0; turn < 2; turn++) {
            mGroup.next().submit(() -> {}).syncUninterruptibly();
        }
        String event = null;
        for (int step = 0; event == null && step < 6_000; step++) {
            mTime.advance(STEP);
            event = mEvents.poll(STEP.toMillis(), TimeUnit.MILLISECONDS);
        }
        return event;
    }

    @Example
    void startFailsIfTheAddressIsInUse() throws Exception {
        ServerAddress address = freeAddress();
        InetAddress loopback = InetAddress.getByName(HOST);
        try (DatagramSocket socket = new DatagramSocket(address.port(), loopback)) {
            assertThat(socket.isBound()).isTrue();
            HeartbeatService one = service("one", address, address);
            assertThat(one.start().awaitUninterruptibly().isSuccess()).isFalse();
            assertThat(mEvents).isEmpty();
        }
    }
}
