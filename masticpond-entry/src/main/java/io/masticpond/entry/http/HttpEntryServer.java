package io.masticpond.entry.http;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP/1.1 server on one address, based on Netty.
 *
 * <p>For a planned stop, call {@link #stopAccepting} and {@link #drain}, wait until {@link
 * #openConnections} is 0 or a timeout has elapsed, and call {@link #close}. All methods may be
 * called from any thread.
 *
 * @since 0.2
 */
public final class HttpEntryServer {

    private static final Logger sLogger = LoggerFactory.getLogger(HttpEntryServer.class);
    private static final int BACKLOG = 1024;
    private static final int DEFAULT_MEMORY_MEGABYTES = 256;

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final EntryConnections mConnections;
    private volatile ListeningChannel mChannel;
    private volatile Predicate<String> mAcceptedClients = ip -> true;

    /**
     * Creates a server that does not listen yet, with a body budget of its own.
     *
     * @param traffic the traffic thread, a group of one event loop
     * @param address the address to listen on
     * @param handler the handler of the requests
     * @param limits the supplier of the limits in force
     * @param time the time source
     * @param options further limits and timeouts
     */
    public HttpEntryServer(
            EventLoopGroup traffic,
            ServerAddress address,
            RequestHandler handler,
            Supplier<RequestLimits> limits,
            TimeSource time,
            HttpEntryOptions options) {
        this(traffic, address, handler, limits, time, options, defaultBudget());
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param traffic the traffic thread, a group of one event loop
     * @param address the address to listen on
     * @param handler the handler of the requests
     * @param limits the supplier of the limits in force
     * @param time the time source
     * @param options further limits and timeouts
     * @param budget the body budget, which must be confined to the traffic thread
     */
    public HttpEntryServer(
            EventLoopGroup traffic,
            ServerAddress address,
            RequestHandler handler,
            Supplier<RequestLimits> limits,
            TimeSource time,
            HttpEntryOptions options,
            BodyBudget budget) {
        this(
                traffic,
                new InetSocketAddress(address.ip(), address.port()),
                handler,
                limits,
                time,
                options,
                budget);
    }

    HttpEntryServer(
            EventLoopGroup traffic,
            InetSocketAddress address,
            RequestHandler handler,
            Supplier<RequestLimits> limits,
            TimeSource time,
            HttpEntryOptions options,
            BodyBudget budget) {
        mLoop = Assert.notNull(traffic, "A traffic thread").next();
        mAddress = address;
        mConnections = new EntryConnections(mLoop, handler, limits, time, options, budget);
    }

    private static BodyBudget defaultBudget() {
        return new BodyBudget(BodyBudgetSettings.ofMemory(DEFAULT_MEMORY_MEGABYTES));
    }

    /**
     * Starts to listen.
     *
     * @return a future that succeeds once clients can connect and fails if the address cannot be
     *     bound
     */
    public ChannelFuture start() {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mLoop, mLoop)
                        .channelFactory(() -> ListeningChannel.open(mAddress.getAddress()))
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        if (isAccepted(channel)) {
                                            channel.pipeline()
                                                    .addLast(new ClientConnection(mConnections));
                                        } else {
                                            channel.close();
                                        }
                                    }
                                })
                        .bind(mAddress);
        if (bound.channel() instanceof ListeningChannel channel) {
            mChannel = channel;
        }
        bound.addListener(
                future ->
                        sLogger.info(
                                "ENTRY  {} {}.",
                                future.isSuccess() ? "Listening on" : "Can't listen on",
                                mAddress));
        return bound;
    }

    /**
     * Restricts the clients; connections of others are closed at once.
     *
     * @param acceptedClients determines whether the client with an IP address is accepted
     */
    public void setAcceptedClients(Predicate<String> acceptedClients) {
        mAcceptedClients = Assert.notNull(acceptedClients, "A predicate of clients");
    }

    private boolean isAccepted(SocketChannel channel) {
        return mAcceptedClients.test(channel.remoteAddress().getAddress().getHostAddress());
    }

    /**
     * Accepts the connections that wait in the queue of the listening socket and closes the socket.
     * Open connections are kept.
     *
     * @return a future that completes on the traffic thread once no connection can be added
     */
    public CompletableFuture<Void> stopAccepting() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLoop.execute(() -> closeListener(stopped));
        return stopped;
    }

    private void closeListener(CompletableFuture<Void> stopped) {
        ListeningChannel channel = mChannel;
        if (channel == null) {
            stopped.complete(null);
            return;
        }
        channel.closeAfterAccepting()
                .addListener(
                        future -> {
                            logStopped();
                            stopped.complete(null);
                        });
    }

    private void logStopped() {
        sLogger.info(
                "ENTRY  Stopped listening on {}: {} requests and {} connections are open.",
                mAddress,
                openRequests(),
                openConnections());
    }

    /**
     * Begins a planned stop: from now on a connection is closed after the answer to its last
     * pending request, and idle connections are closed after a short pause. Requests already read
     * are answered.
     */
    public void drain() {
        mLoop.execute(mConnections::drain);
    }

    /**
     * Returns the number of requests that were read completely and whose answer has not been
     * written yet.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return mConnections.openRequests();
    }

    /**
     * Returns the number of open connections, including those that are being closed.
     *
     * @return the number of connections
     */
    public int openConnections() {
        return mConnections.openConnections();
    }

    /** Stops listening and closes all connections immediately. */
    public void close() {
        stopAccepting();
        mLoop.execute(mConnections::closeAll);
    }

    EntryConnections connections() {
        return mConnections;
    }

    InetSocketAddress boundAddress() {
        return (InetSocketAddress) mChannel.localAddress();
    }
}
