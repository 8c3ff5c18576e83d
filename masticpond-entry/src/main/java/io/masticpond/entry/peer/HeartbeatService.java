package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service that sends heartbeats to other instances and determines which of them are alive.
 *
 * <p>Methods may be called from any thread if not stated otherwise; the control thread does the
 * work.
 *
 * @since 0.2
 */
public final class HeartbeatService implements PeerView {

    private static final Logger sLogger = LoggerFactory.getLogger(HeartbeatService.class);
    private static final int LEAVING_REPEATS = 3;
    private static final long LEAVING_INTERVAL_MILLIS = 100;
    private static final long FLUSH_DELAY_MILLIS = 100;

    private final HeartbeatSettings mSettings;
    private final TimeSource mTimeSource;
    private final EventLoop mEventLoop;
    private final OwnStatus mSelf;
    private final PeerExchange mExchange;
    private final Map<ServerAddress, InetSocketAddress> mAddresses = new HashMap<>();
    private final Queue<Runnable> mPendingNotifications = new ArrayDeque<>();
    private final Map<Byte, BiConsumer<ServerAddress, ByteBuf>> mReceivers =
            new ConcurrentHashMap<>();
    private volatile PeerSnapshot mSnapshot;
    private Channel mChannel;
    private boolean mFlushScheduled;
    private boolean mEvaluationScheduled;
    private long mSent;
    private long mReceived;

    /**
     * Creates the service; nothing is sent before {@link #start}.
     *
     * @param self this instance; its incarnation is the wall-clock time or higher
     * @param seeds internal addresses at which other instances may be found, possibly stale
     * @param settings the periods and timeouts
     * @param timeSource the clocks
     * @param eventLoop the control thread
     * @param listener notified when other instances become reachable or unreachable
     */
    public HeartbeatService(
            PeerInstance self,
            List<ServerAddress> seeds,
            HeartbeatSettings settings,
            TimeSource timeSource,
            EventLoop eventLoop,
            PeerListener listener) {
        mSettings = settings;
        mTimeSource = timeSource;
        mEventLoop = eventLoop;
        mSelf = new OwnStatus(self.id(), PeerPlace.of(self), self.incarnation());
        long now = timeSource.monotonicNanos();
        mExchange = new PeerExchange(mSelf, settings, seeds, this::send, deferred(listener), now);
        mSnapshot = mExchange.snapshot(now);
    }

    /**
     * Binds the internal address and starts to send heartbeats.
     *
     * @return a future that completes once the address is bound, or fails with the reason
     */
    public ChannelFuture start() {
        ServerAddress own = mSelf.place().internal();
        ChannelFuture bound =
                new Bootstrap()
                        .group(mEventLoop)
                        .channelFactory(() -> new NioDatagramChannel(SocketProtocolFamily.INET))
                        .handler(new Receiver())
                        .bind(new InetSocketAddress(own.ip(), own.port()));
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        mChannel = bound.channel();
                        begin();
                    } else {
                        sLogger.error("PEER  Cannot bind {}.", own, done.cause());
                    }
                });
        return bound;
    }

    /**
     * Replaces the seeds.
     *
     * @param seeds internal addresses at which other instances may be found, possibly stale
     */
    public void setSeeds(List<ServerAddress> seeds) {
        run(() -> mExchange.setSeeds(seeds));
    }

    /**
     * Adds instances that the store lists. Each counts as alive once a heartbeat of it is known.
     *
     * @param instances the instances, possibly including this one
     */
    public void addKnown(List<PeerInstance> instances) {
        run(() -> mExchange.addKnown(instances, now()));
    }

    /**
     * Updates the reported status. A change of readiness is announced to the others at once.
     *
     * @param ready whether this instance takes new clients
     * @param revision the revision of the platform's store that its snapshot is based on
     */
    public void update(boolean ready, long revision) {
        run(
                () -> {
                    mSelf.setRevision(revision);
                    PeerUpdate.State state =
                            ready ? PeerUpdate.State.READY : PeerUpdate.State.STARTING;
                    if (mSelf.changeState(state)) {
                        mExchange.announce(now());
                    }
                });
    }

    /** Announces at once that this instance is leaving, which cannot be revoked. */
    public void leave() {
        run(
                () -> {
                    if (mSelf.changeState(PeerUpdate.State.LEAVING)) {
                        announceLeaving(LEAVING_REPEATS);
                    }
                });
    }

    /**
     * Registers a receiver for datagrams of a layout other than the heartbeats'. Must be called
     * before {@link #start}.
     *
     * @param version the version byte, the first of these datagrams
     * @param receiver called on the control thread with the sender and the bytes after the version
     */
    public void registerReceiver(int version, BiConsumer<ServerAddress, ByteBuf> receiver) {
        mReceivers.put((byte) version, Assert.notNull(receiver, "A receiver"));
    }

    /**
     * Sends a datagram to other instances. A datagram that is lost in transit is not sent again.
     * Control thread only.
     *
     * @param recipients the instances; this one is left out
     * @param content writes the version byte and what follows
     */
    public void sendDatagram(Collection<PeerInstance> recipients, Consumer<ByteBuf> content) {
        if (mChannel == null) {
            return;
        }
        ByteBuf buffer = datagram(content);
        for (PeerInstance recipient : recipients) {
            if (!recipient.id().equals(mSelf.id())) {
                write(recipient.internal(), buffer.retainedDuplicate());
            }
        }
        buffer.release();
    }

    private ByteBuf datagram(Consumer<ByteBuf> content) {
        ByteBuf buffer = mChannel.alloc().buffer(PeerMessageCodec.MAXIMUM_BYTES);
        content.accept(buffer);
        return buffer;
    }

    /** Sends a datagram to one address; it is not sent again if lost. Control thread only. */
    public void sendDatagram(ServerAddress to, Consumer<ByteBuf> content) {
        if (mChannel != null) {
            write(to, datagram(content));
        }
    }

    /**
     * Returns the live instances of this instance's availability zone, including this one.
     *
     * @return the instances
     */
    public List<PeerInstance> ownZone() {
        return mSnapshot.inZone(mSelf.place().zone());
    }

    /** Stops sending and receiving heartbeats. */
    public void stop() {
        mEventLoop.execute(
                () -> {
                    if (mChannel != null) {
                        mChannel.close();
                        mChannel = null;
                    }
                });
    }

    @Override
    public List<PeerInstance> alive() {
        return mSnapshot.alive();
    }

    @Override
    public Set<InstanceId> suspects() {
        return mSnapshot.suspects();
    }

    @Override
    public int shareholders() {
        return mSnapshot.shareholders();
    }

    /**
     * Returns this instance and all others that it knows, including the unreachable ones until they
     * are forgotten. Control thread only.
     *
     * @return the members, in the order of their ids
     */
    public List<PeerMember> members() {
        return mExchange.members(now());
    }

    /**
     * Returns the number of messages sent. Control thread only.
     *
     * @return the count
     */
    public long sentCount() {
        return mSent;
    }

    /**
     * Returns the number of valid messages received. Control thread only.
     *
     * @return the count
     */
    public long receivedCount() {
        return mReceived;
    }

    private void begin() {
        long period = mSettings.period().toNanos();
        mExchange.tick(now());
        publishChanges();
        mEventLoop.scheduleWithFixedDelay(this::tick, period, period, TimeUnit.NANOSECONDS);
    }

    private void tick() {
        if (mChannel != null) {
            mExchange.tick(now());
            publishChanges();
        }
    }

    private void announceLeaving(int times) {
        mExchange.announce(now());
        if (times > 1) {
            mEventLoop.schedule(
                    () -> run(() -> announceLeaving(times - 1)),
                    LEAVING_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void run(Runnable work) {
        mEventLoop.execute(
                () -> {
                    work.run();
                    publishChanges();
                });
    }

    /** Publishes the snapshot and schedules work that is due before the next heartbeat. */
    private void publishChanges() {
        long now = now();
        if (mExchange.hasPendingUpdates() && !mFlushScheduled) {
            mFlushScheduled = true;
            mEventLoop.schedule(this::flush, FLUSH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (!mExchange.takeChanged()) {
            return;
        }
        mSnapshot = mExchange.snapshot(now);
        notifyListener();
        long next = mExchange.untilNextVerdict(now);
        if (!mEvaluationScheduled && next < mSettings.period().toNanos()) {
            mEvaluationScheduled = true;
            mEventLoop.schedule(this::evaluate, next, TimeUnit.NANOSECONDS);
        }
    }

    private void flush() {
        mFlushScheduled = false;
        mExchange.flush(now());
    }

    private void evaluate() {
        mEvaluationScheduled = false;
        mExchange.evaluate(now());
        publishChanges();
    }

    private long now() {
        return mTimeSource.monotonicNanos();
    }

    private void send(ServerAddress to, PeerMessage message) {
        if (mChannel == null) {
            return;
        }
        mSent++;
        write(to, datagram(buffer -> PeerMessageCodec.write(message, buffer)));
    }

    private void write(ServerAddress to, ByteBuf buffer) {
        InetSocketAddress address =
                mAddresses.computeIfAbsent(to, a -> new InetSocketAddress(a.ip(), a.port()));
        mChannel.writeAndFlush(new DatagramPacket(buffer, address), mChannel.voidPromise());
    }

    /** Defers notifications until the snapshot that the listener may read is published. */
    private PeerListener deferred(PeerListener listener) {
        return new PeerListener() {
            @Override
            public void onPeerReachable(PeerInstance instance) {
                sLogger.info("PEER  {} of {} is reachable.", instance.id(), instance.zone());
                mPendingNotifications.add(() -> listener.onPeerReachable(instance));
            }

            @Override
            public void onPeerUnreachable(InstanceId id, boolean planned) {
                sLogger.info("PEER  {} is unreachable{}.", id, planned ? " as planned" : "");
                mPendingNotifications.add(() -> listener.onPeerUnreachable(id, planned));
            }
        };
    }

    private void notifyListener() {
        while (!mPendingNotifications.isEmpty()) {
            mPendingNotifications.remove().run();
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            ByteBuf content = packet.content();
            BiConsumer<ServerAddress, ByteBuf> receiver =
                    content.isReadable()
                            ? mReceivers.get(content.getByte(content.readerIndex()))
                            : null;
            if (receiver != null) {
                receiver.accept(address(packet.sender()), content.skipBytes(1));
                return;
            }
            PeerMessageCodec.read(content).ifPresent(message -> receive(message, packet.sender()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            sLogger.debug("PEER  A datagram could not be sent or received.", cause);
        }
    }

    private void receive(PeerMessage message, InetSocketAddress sender) {
        mReceived++;
        mExchange.receive(message, address(sender), now());
        publishChanges();
    }

    private static ServerAddress address(InetSocketAddress sender) {
        return new ServerAddress(sender.getAddress().getHostAddress(), sender.getPort());
    }
}
