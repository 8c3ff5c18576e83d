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
 * {@link InstanceLinks} implementation over TCP, with a single Netty event loop that owns every
 * connection.
 *
 * @since 0.1
 */
public final class NettyInstanceLinks implements InstanceLinks, ConnectionOwner, AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(NettyInstanceLinks.class);
    private static final int INACTIVITY_CHECK_PERIOD_MILLIS = 250;
    private static final int MAXIMUM_HANDSHAKES = 256;

    private final LinkSettings mSettings;
    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final Handshake mHandshake;
    private final LinkCounters mCounters = new LinkCounters();
    private final Map<InstanceId, Peer> mPeers = new ConcurrentHashMap<>();
    private final Map<Envelope.BodyCase, EnvelopeHandler> mHandlers = new ConcurrentHashMap<>();
    private final List<LinkListener> mListeners = new CopyOnWriteArrayList<>();
    private final Set<Connection> mOpenConnections = new HashSet<>();
    private final Set<InstanceId> mConnectedInstances = ConcurrentHashMap.newKeySet();
    private final LinkChannels mChannels;

    /**
     * Creates new links, which do not listen until {@link #start} is called.
     *
     * @param self the incarnation of this instance
     * @param settings the limits and timeouts
     * @param timeSource the clock for inactivity timeouts and backoff
     * @param seed the seed of the jitter of the backoff
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
     * Starts listening and checking connections for inactivity.
     *
     * @return the bound address
     * @throws IllegalStateException if the address cannot be bound
     */
    public InetSocketAddress start() {
        InetSocketAddress address =
                mChannels.listen(
                        SocketAddresses.parse(mSettings.listenAddress()), this::acceptConnection);
        Future<?> unused =
                mChannels
                        .loop()
                        .scheduleAtFixedRate(
                                this::checkInactivity,
                                INACTIVITY_CHECK_PERIOD_MILLIS,
                                INACTIVITY_CHECK_PERIOD_MILLIS,
                                TimeUnit.MILLISECONDS);
        return address;
    }

    @Override
    public CompletableFuture<Either<LinkError, Envelope>> call(
            InstanceId to, Envelope request, Duration timeout) {
        mCounters.mCalls.increment();
        OutboundCall call = new OutboundCall(to, request, timeout);
        PeerLane lane = peer(to).lane(Lane.of(request.getBodyCase()));
        Optional<LinkError> error = reserve(to, lane, call);
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
        return reserve(to, lane, outbound).isEmpty() && execute(() -> lane.submit(outbound));
    }

    @Override
    public void setAddress(InstanceId id, String ipAndPort) {
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
                    Connection connection = newConnection(true, Optional.empty(), Lane.CONTROL);
                    mChannels
                            .dial(address, connection)
                            .addListener(future -> contactCompleted(connection, future.cause()));
                });
    }

    @Override
    public void removeInstance(InstanceId id) {
        Peer peer = mPeers.remove(id);
        if (peer != null) {
            execute(() -> peer.close("The instance was forgotten."));
        }
    }

    @Override
    public Set<InstanceId> connected() {
        return Set.copyOf(mConnectedInstances);
    }

    @Override
    public void setHandler(Envelope.BodyCase body, EnvelopeHandler handler) {
        mHandlers.put(body, Assert.notNull(handler, "An envelope handler"));
    }

    @Override
    public void addListener(LinkListener listener) {
        mListeners.add(Assert.notNull(listener, "A link listener"));
    }

    @Override
    public LinkStatistics statistics() {
        return mCounters.snapshot();
    }

    /** Closes all connections. Pending calls end as not sent or lost. */
    @Override
    public void close() {
        mChannels.stopListening();
        execute(() -> mPeers.values().forEach(peer -> peer.close("The links are closed.")));
        execute(
                () ->
                        List.copyOf(mOpenConnections)
                                .forEach(connection -> connection.close("The links are closed.")));
        mChannels.close();
    }

    @Override
    public Optional<String> rejectionReason(Incarnation peer) {
        return readyConnections(peer.instance()).stream()
                .filter(connection -> connection.peer().number() > peer.number())
                .findFirst()
                .map(connection -> "A later run, " + connection.peer() + ", is connected.");
    }

    @Override
    public void ready(Connection connection) {
        Incarnation incarnation = connection.peer();
        closeEarlierRuns(incarnation);
        mCounters.mConnections.increment();
        mConnectedInstances.add(incarnation.instance());
        if (countReady(incarnation) == 1) {
            sLogger.info("INSTANCE  Connected to {}.", incarnation);
            mListeners.forEach(listener -> listener.connected(incarnation));
        }
        peer(incarnation.instance()).lane(connection.lane()).connected(connection);
    }

    @Override
    public void writable(Connection connection) {
        peer(connection.peer().instance()).lane(connection.lane()).writeQueued();
    }

    @Override
    public void closed(Connection connection, String reason) {
        mOpenConnections.remove(connection);
        if (!connection.isReady()) {
            connection.expected().ifPresent(id -> dialFailed(id, connection.lane(), reason));
            return;
        }
        Incarnation incarnation = connection.peer();
        mCounters.mConnections.decrement();
        if (readyConnections(incarnation.instance()).isEmpty()) {
            mConnectedInstances.remove(incarnation.instance());
        }
        if (countReady(incarnation) == 0) {
            sLogger.info("INSTANCE  Disconnected from {}: {}", incarnation, reason);
            mListeners.forEach(listener -> listener.disconnected(incarnation));
        }
        Peer peer = mPeers.get(incarnation.instance());
        if (peer != null) {
            peer.lane(connection.lane()).disconnected(connection);
        }
    }

    @Override
    public void received(Connection connection, Envelope envelope) {
        Responder responder =
                new DefaultResponder(connection, envelope.getCallId(), mChannels.loop());
        EnvelopeHandler handler = mHandlers.get(envelope.getBodyCase());
        if (connection.exceedsCallLimit()) {
            responder.refuse("Too many requests are unanswered.");
        } else if (handler == null) {
            responder.refuse("Nothing here takes a " + envelope.getBodyCase() + ".");
        } else {
            handler.handle(connection.peer().instance(), envelope, responder);
        }
    }

    private Optional<LinkError> reserve(InstanceId to, PeerLane lane, OutboundMessage message) {
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

    /** Determines whether there is an entry for an instance. */
    boolean knows(InstanceId id) {
        return mPeers.containsKey(id);
    }

    private Peer peer(InstanceId id) {
        return mPeers.computeIfAbsent(id, key -> new Peer(lane -> lane(key, lane)));
    }

    private PeerLane lane(InstanceId id, Lane lane) {
        return new PeerLane(mSettings, mTimeSource, mRandom, () -> dial(id, lane));
    }

    private void checkInactivity() {
        List.copyOf(mOpenConnections).forEach(Connection::checkInactivity);
    }

    private List<Connection> readyConnections(InstanceId id) {
        return mOpenConnections.stream()
                .filter(
                        connection ->
                                connection.isReady() && connection.peer().instance().equals(id))
                .toList();
    }

    private long countReady(Incarnation run) {
        return readyConnections(run.instance()).stream()
                .filter(connection -> connection.peer().equals(run))
                .count();
    }

    private void closeEarlierRuns(Incarnation run) {
        for (Connection connection : readyConnections(run.instance())) {
            if (connection.peer().number() < run.number()) {
                connection.close("A later run of the instance connected.");
            }
        }
    }

    private void dial(InstanceId id, Lane lane) {
        InetSocketAddress address = peer(id).address();
        if (address == null) {
            dialFailed(id, lane, "The address is not known.");
            return;
        }
        Connection connection = newConnection(true, Optional.of(id), lane);
        mChannels
                .dial(address, connection)
                .addListener(future -> dialCompleted(connection, id, future.cause()));
    }

    private void dialCompleted(Connection connection, InstanceId id, Throwable cause) {
        if (cause == null) {
            return;
        }
        mOpenConnections.remove(connection);
        if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
            mListeners.forEach(listener -> listener.connectionRefused(id));
        }
        dialFailed(id, connection.lane(), cause.getMessage());
    }

    private void contactCompleted(Connection connection, Throwable cause) {
        if (cause != null) {
            mOpenConnections.remove(connection);
            sLogger.debug("INSTANCE  No instance could be contacted: {}", cause.getMessage());
        }
    }

    private void dialFailed(InstanceId id, Lane lane, String reason) {
        sLogger.debug("INSTANCE  Failed to connect to {}: {}", id, reason);
        peer(id).lane(lane).dialFailed(reason);
    }

    private Optional<Connection> acceptConnection() {
        long handshakes =
                mOpenConnections.stream().filter(connection -> !connection.isReady()).count();
        if (handshakes >= MAXIMUM_HANDSHAKES) {
            return Optional.empty();
        }
        return Optional.of(newConnection(false, Optional.empty(), Lane.CONTROL));
    }

    private Connection newConnection(boolean dialer, Optional<InstanceId> expected, Lane lane) {
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
        mOpenConnections.add(connection);
        return connection;
    }
}
