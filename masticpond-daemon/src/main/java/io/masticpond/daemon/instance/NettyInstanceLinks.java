package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.protocol.generated.Envelope;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Links over TCP with one thread, which owns every connection.
 *
 * @since 0.1
 */
public final class NettyInstanceLinks implements InstanceLinks, ConnectionOwner, AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(NettyInstanceLinks.class);
    private static final int SWEEP_MILLIS = 250;
    private static final int MAXIMUM_HANDSHAKES = 256;

    private final LinkSettings mSettings;
    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final Handshake mHandshake;
    private final LinkCounters mCounters = new LinkCounters();
    private final Map<InstanceId, Peer> mPeers = new ConcurrentHashMap<>();
    private final Map<Envelope.BodyCase, EnvelopeHandler> mHandlers = new ConcurrentHashMap<>();
    private final List<LinkListener> mListeners = new CopyOnWriteArrayList<>();
    private final Set<Connection> mOpen = new HashSet<>();
    private final Set<InstanceId> mConnected = ConcurrentHashMap.newKeySet();
    private final LinkChannels mChannels;

    /**
     * Makes links that do not listen yet.
     *
     * @param self this run of this instance
     * @param settings the limits and times
     * @param timeSource the clock of silences and waits
     * @param seed the seed of the jitter
     */
    public NettyInstanceLinks(
            Incarnation self, LinkSettings settings, TimeSource timeSource, long seed) {
        mSettings = Assert.notNull(settings, "The settings of the links");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mHandshake = new Handshake(Assert.notNull(self, "An incarnation"), settings);
        mChannels = new LinkChannels(settings.connectTimeout());
    }

    /**
     * Starts to listen.
     *
     * @return the address that is listened on
     * @throws IllegalStateException if the address cannot be listened on
     */
    public InetSocketAddress start() {
        InetSocketAddress address =
                mChannels.listen(
                        SocketAddresses.parse(mSettings.listenAddress()), this::acceptConnection);
        Future<?> unused =
                mChannels
                        .loop()
                        .scheduleAtFixedRate(
                                this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return address;
    }

    @Override
    public CompletableFuture<Either<LinkError, Envelope>> call(
            InstanceId to, Envelope request, Duration timeout) {
        mCounters.mCalls.increment();
        OutboundCall call = new OutboundCall(to, request, timeout);
        PeerLane lane = peer(to).lane(Lane.of(request.getBodyCase()));
        Optional<LinkError> error = takeRoom(to, lane, call);
        if (error.isPresent()) {
            return CompletableFuture.completedFuture(Either.left(error.get()));
        }
        call.onEnd(() -> lane.endCall(call));
        boolean submitted =
                execute(
                        () -> {
                            call.timer(
                                    mChannels
                                            .loop()
                                            .schedule(
                                                    call::timedOut,
                                                    timeout.toNanos(),
                                                    TimeUnit.NANOSECONDS));
                            lane.submit(call);
                        });
        if (!submitted) {
            call.notWritten("The links are closed.");
        }
        return call.future();
    }

    @Override
    public boolean send(InstanceId to, Envelope message) {
        OutboundMessage outbound = new OutboundMessage(message);
        PeerLane lane = peer(to).lane(Lane.of(message.getBodyCase()));
        return takeRoom(to, lane, outbound).isEmpty() && execute(() -> lane.submit(outbound));
    }

    @Override
    public void address(InstanceId id, String ipAndPort) {
        InetSocketAddress address = SocketAddresses.parse(ipAndPort);
        Peer peer = peer(id);
        if (address.equals(peer.address())) {
            return;
        }
        peer.address(address);
        execute(peer::resetBackoff);
    }

    @Override
    public void contact(String ipAndPort) {
        InetSocketAddress address = SocketAddresses.parse(ipAndPort);
        execute(
                () -> {
                    Connection connection = connection(true, Optional.empty(), Lane.CONTROL);
                    mChannels
                            .dial(address, connection)
                            .addListener(future -> contactEnded(connection, future.cause()));
                });
    }

    @Override
    public void forget(InstanceId id) {
        Peer peer = mPeers.remove(id);
        if (peer != null) {
            execute(() -> peer.close("The instance was forgotten."));
        }
    }

    @Override
    public Set<InstanceId> connected() {
        return Set.copyOf(mConnected);
    }

    @Override
    public void handle(Envelope.BodyCase body, EnvelopeHandler handler) {
        mHandlers.put(body, Assert.notNull(handler, "A handler of envelopes"));
    }

    @Override
    public void addListener(LinkListener listener) {
        mListeners.add(Assert.notNull(listener, "A listener to links"));
    }

    @Override
    public LinkStatistics statistics() {
        return mCounters.snapshot();
    }

    /** Closes all connections; calls that wait end as not sent or lost. */
    @Override
    public void close() {
        mChannels.stopListening();
        execute(() -> mPeers.values().forEach(peer -> peer.close("The links are closed.")));
        execute(() -> List.copyOf(mOpen).forEach(open -> open.close("The links are closed.")));
        mChannels.close();
    }

    @Override
    public Optional<String> rejectionReason(Incarnation peer) {
        return readyTo(peer.instance()).stream()
                .filter(open -> open.peer().number() > peer.number())
                .findFirst()
                .map(open -> "A later run, " + open.peer() + ", is connected.");
    }

    @Override
    public void ready(Connection connection) {
        Incarnation incarnation = connection.peer();
        closeEarlierRuns(incarnation);
        mCounters.mConnections.increment();
        mConnected.add(incarnation.instance());
        if (countReady(incarnation) == 1) {
            sLogger.info("INSTANCE  Connected to {}.", incarnation);
            mListeners.forEach(listener -> listener.connected(incarnation));
        }
        peer(incarnation.instance()).lane(connection.lane()).connected(connection);
    }

    @Override
    public void writable(Connection connection) {
        peer(connection.peer().instance()).lane(connection.lane()).pump();
    }

    @Override
    public void closed(Connection connection, String reason) {
        mOpen.remove(connection);
        if (!connection.isReady()) {
            connection.expected().ifPresent(id -> dialFailed(id, connection.lane(), reason));
            return;
        }
        Incarnation incarnation = connection.peer();
        mCounters.mConnections.decrement();
        if (readyTo(incarnation.instance()).isEmpty()) {
            mConnected.remove(incarnation.instance());
        }
        if (countReady(incarnation) == 0) {
            sLogger.info("INSTANCE  Disconnected from {}: {}", incarnation, reason);
            mListeners.forEach(listener -> listener.disconnected(incarnation));
        }
        peer(incarnation.instance()).lane(connection.lane()).disconnected(connection);
    }

    @Override
    public void received(Connection connection, Envelope envelope) {
        Responder responder =
                new DefaultResponder(connection, envelope.getCallId(), mChannels.loop());
        EnvelopeHandler handler = mHandlers.get(envelope.getBodyCase());
        if (connection.isFull()) {
            responder.refuse("Too many requests are unanswered.");
        } else if (handler == null) {
            responder.refuse("Nothing here takes a " + envelope.getBodyCase() + ".");
        } else {
            handler.handle(connection.peer().instance(), envelope, responder);
        }
    }

    private Optional<LinkError> takeRoom(InstanceId to, PeerLane lane, OutboundMessage message) {
        if (message.bytes() > mSettings.maximumFrameBytes()) {
            return Optional.of(
                    new LinkError.NotSent(
                            "A message of " + message.bytes() + " bytes is too large."));
        }
        if (!lane.reserve(message)) {
            return Optional.of(new LinkError.QueueFull("The queue to " + to + " is full."));
        }
        return Optional.empty();
    }

    private boolean execute(Runnable task) {
        try {
            mChannels.loop().execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private Peer peer(InstanceId id) {
        return mPeers.computeIfAbsent(id, key -> new Peer(lane -> lane(key, lane)));
    }

    private PeerLane lane(InstanceId id, Lane lane) {
        return new PeerLane(mSettings, mTimeSource, mRandom, () -> dial(id, lane));
    }

    private void sweep() {
        List.copyOf(mOpen).forEach(Connection::sweep);
    }

    private List<Connection> readyTo(InstanceId id) {
        return mOpen.stream()
                .filter(open -> open.isReady() && open.peer().instance().equals(id))
                .toList();
    }

    private long countReady(Incarnation run) {
        return readyTo(run.instance()).stream().filter(open -> open.peer().equals(run)).count();
    }

    private void closeEarlierRuns(Incarnation run) {
        for (Connection open : readyTo(run.instance())) {
            if (open.peer().number() < run.number()) {
                open.close("A later run of the instance connected.");
            }
        }
    }

    private void dial(InstanceId id, Lane lane) {
        InetSocketAddress address = peer(id).address();
        if (address == null) {
            dialFailed(id, lane, "The address is not known.");
            return;
        }
        Connection connection = connection(true, Optional.of(id), lane);
        mChannels
                .dial(address, connection)
                .addListener(future -> dialEnded(connection, id, future.cause()));
    }

    private void dialEnded(Connection connection, InstanceId id, Throwable cause) {
        if (cause == null) {
            return;
        }
        mOpen.remove(connection);
        if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
            mListeners.forEach(listener -> listener.connectionRefused(id));
        }
        dialFailed(id, connection.lane(), cause.getMessage());
    }

    private void contactEnded(Connection connection, Throwable cause) {
        if (cause != null) {
            mOpen.remove(connection);
            sLogger.debug("INSTANCE  No instance was found: {}", cause.getMessage());
        }
    }

    private void dialFailed(InstanceId id, Lane lane, String reason) {
        sLogger.debug("INSTANCE  No connection to {}: {}", id, reason);
        peer(id).lane(lane).dialFailed(reason);
    }

    private Optional<Connection> acceptConnection() {
        long handshakes = mOpen.stream().filter(open -> !open.isReady()).count();
        if (handshakes >= MAXIMUM_HANDSHAKES) {
            return Optional.empty();
        }
        return Optional.of(connection(false, Optional.empty(), Lane.CONTROL));
    }

    private Connection connection(boolean dialer, Optional<InstanceId> expected, Lane lane) {
        Connection connection =
                new Connection(
                        mHandshake,
                        mSettings,
                        mTimeSource,
                        mCounters,
                        this,
                        dialer,
                        expected,
                        lane);
        mOpen.add(connection);
        return connection;
    }
}
