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
 * Tells other instances that this one lives, and knows by their heartbeats which others do.
 *
 * <p>All methods may be called by any thread; the work is done on the control thread.
 *
 * @since 0.2
 */
public final class HeartbeatService implements PeerView {

    private static final Logger sLogger = LoggerFactory.getLogger(HeartbeatService.class);
    private static final int LEAVING_REPEATS = 3;
    private static final long LEAVING_GAP_MILLIS = 100;
    private static final long SPREAD_GAP_MILLIS = 100;

    private final HeartbeatSettings mSettings;
    private final TimeSource mTimeSource;
    private final EventLoop mEventLoop;
    private final OwnStatus mSelf;
    private final PeerExchange mExchange;
    private final Map<ServerAddress, InetSocketAddress> mAddresses = new HashMap<>();
    private final Queue<Runnable> mPendingNotifications = new ArrayDeque<>();
    private final Map<Byte, BiConsumer<ServerAddress, ByteBuf>> mListeners =
            new ConcurrentHashMap<>();
    private volatile PeerSnapshot mSnapshot;
    private Channel mChannel;
    private boolean mFlushDue;
    private boolean mEvaluationDue;
    private long mSent;
    private long mReceived;

    /**
     * Prepares the duty; nothing is sent before {@link #start}.
     *
     * @param self this instance; its incarnation is the wall time or higher
     * @param seeds internal addresses where others may be, perhaps stale
     * @param settings how often and how patient
     * @param timeSource the clocks
     * @param eventLoop the control thread
     * @param listener hears of those that come and go
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
        mExchange = new PeerExchange(mSelf, settings, seeds, this::send, kept(listener), now);
        mSnapshot = mExchange.snapshot(now);
    }

    /**
     * Binds the internal address and begins.
     *
     * @return tells when the address is bound, or why it cannot be
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
                        sLogger.error("PEER  {} cannot be bound.", own, done.cause());
                    }
                });
        return bound;
    }

    /**
     * Takes other seeds in place of those before.
     *
     * @param seeds internal addresses where others may be, perhaps stale
     */
    public void setSeeds(List<ServerAddress> seeds) {
        run(() -> mExchange.seeds(seeds));
    }

    /**
     * Takes instances that the platform's store lists; each counts once it is heard.
     *
     * @param instances the instances, this one perhaps among them
     */
    public void addKnown(List<PeerInstance> instances) {
        run(() -> mExchange.known(instances, now()));
    }

    /**
     * Tells how far this instance is; others hear a change of readiness at once.
     *
     * @param ready whether it takes new clients
     * @param revision the revision of the platform's store that its snapshot rests on
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

    /** Tells all at once that this instance leaves; nothing takes that back. */
    public void leave() {
        run(
                () -> {
                    if (mSelf.changeState(PeerUpdate.State.LEAVING)) {
                        announceLeaving(LEAVING_REPEATS);
                    }
                });
    }

    /**
     * Says who takes the datagrams of another layout than the heartbeats'. To be called before the
     * start.
     *
     * @param version the first byte of these datagrams, which tells them apart
     * @param listener hears on the control thread who sent one, and the bytes after the version
     */
    public void registerReceiver(int version, BiConsumer<ServerAddress, ByteBuf> listener) {
        mListeners.put((byte) version, Assert.notNull(listener, "A listener"));
    }

    /**
     * Sends other instances a datagram; what is lost on the way is not sent again. Control thread
     * only.
     *
     * @param hearers the instances; this one is left out
     * @param content writes the version and what follows
     */
    public void sendDatagram(Collection<PeerInstance> hearers, Consumer<ByteBuf> content) {
        if (mChannel == null) {
            return;
        }
        ByteBuf buffer = datagram(content);
        for (PeerInstance hearer : hearers) {
            if (!hearer.id().equals(mSelf.id())) {
                write(hearer.internal(), buffer.retainedDuplicate());
            }
        }
        buffer.release();
    }

    private ByteBuf datagram(Consumer<ByteBuf> content) {
        ByteBuf buffer = mChannel.alloc().buffer(PeerMessageCodec.MAXIMUM_BYTES);
        content.accept(buffer);
        return buffer;
    }

    /** Sends a datagram to one address, as it is sent to instances. Control thread only. */
    public void sendDatagram(ServerAddress to, Consumer<ByteBuf> content) {
        if (mChannel != null) {
            write(to, datagram(content));
        }
    }

    /**
     * Gives the living instances of the own availability zone, this one included.
     *
     * @return the instances
     */
    public List<PeerInstance> ownZone() {
        return mSnapshot.inZone(mSelf.place().zone());
    }

    /** Ends the heartbeats. */
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
     * Tells of this instance and all others that it knows, the gone ones too until they are
     * forgotten. Control thread only.
     *
     * @return the members, in the order of their ids
     */
    public List<PeerMember> members() {
        return mExchange.members(now());
    }

    /**
     * Counts the messages sent. Control thread only.
     *
     * @return the count
     */
    public long sent() {
        return mSent;
    }

    /**
     * Counts the messages heard that could be read. Control thread only.
     *
     * @return the count
     */
    public long received() {
        return mReceived;
    }

    private void begin() {
        long period = mSettings.period().toNanos();
        mExchange.tick(now());
        afterwards();
        mEventLoop.scheduleWithFixedDelay(this::tick, period, period, TimeUnit.NANOSECONDS);
    }

    private void tick() {
        if (mChannel != null) {
            mExchange.tick(now());
            afterwards();
        }
    }

    private void announceLeaving(int times) {
        mExchange.announce(now());
        if (times > 1) {
            mEventLoop.schedule(
                    () -> run(() -> announceLeaving(times - 1)),
                    LEAVING_GAP_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void run(Runnable work) {
        mEventLoop.execute(
                () -> {
                    work.run();
                    afterwards();
                });
    }

    /** Publishes the snapshot and sets the timers that are due before the next heartbeat. */
    private void afterwards() {
        long now = now();
        if (mExchange.hasPendingUpdates() && !mFlushDue) {
            mFlushDue = true;
            mEventLoop.schedule(this::flush, SPREAD_GAP_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (!mExchange.takeChanged()) {
            return;
        }
        mSnapshot = mExchange.snapshot(now);
        notifyListener();
        long next = mExchange.untilNextVerdict(now);
        if (!mEvaluationDue && next < mSettings.period().toNanos()) {
            mEvaluationDue = true;
            mEventLoop.schedule(this::evaluate, next, TimeUnit.NANOSECONDS);
        }
    }

    private void flush() {
        mFlushDue = false;
        mExchange.flush(now());
    }

    private void evaluate() {
        mEvaluationDue = false;
        mExchange.evaluate(now());
        afterwards();
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

    /** Keeps what the listener must hear until the snapshot that it may look at is published. */
    private PeerListener kept(PeerListener listener) {
        return new PeerListener() {
            @Override
            public void onPeerReachable(PeerInstance instance) {
                sLogger.info("PEER  {} of {} is heard.", instance.id(), instance.zone());
                mPendingNotifications.add(() -> listener.onPeerReachable(instance));
            }

            @Override
            public void onPeerUnreachable(InstanceId id, boolean planned) {
                sLogger.info("PEER  {} is silent{}.", id, planned ? " as planned" : "");
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
            BiConsumer<ServerAddress, ByteBuf> listener =
                    content.isReadable()
                            ? mListeners.get(content.getByte(content.readerIndex()))
                            : null;
            if (listener != null) {
                listener.accept(address(packet.sender()), content.skipBytes(1));
                return;
            }
            PeerMessageCodec.read(content).ifPresent(message -> receive(message, packet.sender()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            sLogger.debug("PEER  A datagram failed.", cause);
        }
    }

    private void receive(PeerMessage message, InetSocketAddress sender) {
        mReceived++;
        mExchange.receive(message, address(sender), now());
        afterwards();
    }

    private static ServerAddress address(InetSocketAddress sender) {
        return new ServerAddress(sender.getAddress().getHostAddress(), sender.getPort());
    }
}
