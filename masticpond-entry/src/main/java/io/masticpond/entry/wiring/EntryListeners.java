package io.masticpond.entry.wiring;

import dagger.Lazy;
import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.control.ControlHandler;
import io.masticpond.entry.forward.ForwardEndpoint;
import io.masticpond.entry.http.HttpEntryOptions;
import io.masticpond.entry.http.HttpEntryServer;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.lifecycle.Readiness;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import javax.inject.Inject;
import javax.inject.Singleton;

/** The listening sockets of an instance, except those for other instances. */
@Singleton
final class EntryListeners {

    /** Budget of the operators' server; its requests are small, its responses below 1 MB. */
    private static final BodyBudgetSettings OPERATORS_BODIES = BodyBudgetSettings.ofMemory(0);

    private final TimeSource mTimeSource;
    private final EventLoopGroup mControlGroup;
    private final EntrySettings.Listeners mAddresses;
    private final Lazy<ControlHandler> mControlHandler;
    private final HttpEntryServer mEntry;
    private final Optional<HttpEntryServer> mForward;
    private final HttpEntryServer mDirectory;
    private final HttpEntryServer mReadiness;

    /** The servers whose requests a planned stop completes: all but that for readiness checks. */
    private final List<HttpEntryServer> mDrained;

    private volatile boolean mListening;
    private volatile RequestLimits mRequestLimits = RequestLimits.DEFAULT;

    /**
     * Creates the servers without starting them. Readiness depends on whether these listen, so it
     * is resolved lazily.
     */
    @Inject
    EntryListeners(
            @TrafficThread EventLoopGroup trafficGroup,
            @ControlThread EventLoopGroup controlGroup,
            EntrySettings settings,
            PlatformAdapter platform,
            TimeSource timeSource,
            RequestFlow flow,
            BodyBudget budget,
            PeerView peers,
            DirectoryHandler directory,
            Lazy<Readiness> readiness,
            Lazy<ControlHandler> controlHandler) {
        mTimeSource = timeSource;
        mControlGroup = controlGroup;
        mAddresses = settings.listeners();
        mControlHandler = controlHandler;
        mEntry = server(trafficGroup, mAddresses.entry(), flow, budget);
        mForward =
                mAddresses
                        .forward()
                        .map(
                                address ->
                                        forwardServer(
                                                trafficGroup,
                                                address,
                                                new ForwardEndpoint(
                                                        platform.headerNames(),
                                                        flow.forwardedRequests()),
                                                budget,
                                                peers));
        mDirectory = server(trafficGroup, mAddresses.directory(), directory, budget);
        mDrained = Stream.concat(Stream.of(mEntry, mDirectory), mForward.stream()).toList();
        mReadiness =
                server(
                        trafficGroup,
                        mAddresses.readiness(),
                        platform.readinessHandler(() -> readiness.get().isReady()),
                        budget);
    }

    /** Creates the server for other instances, which accepts no other clients. */
    private HttpEntryServer forwardServer(
            EventLoopGroup group,
            ServerAddress address,
            RequestHandler handler,
            BodyBudget budget,
            PeerView peers) {
        HttpEntryServer server = server(group, address, handler, budget);
        server.setAcceptedClients(
                ip -> peers.alive().stream().anyMatch(peer -> peer.internal().ip().equals(ip)));
        return server;
    }

    private HttpEntryServer server(
            EventLoopGroup group,
            ServerAddress address,
            RequestHandler handler,
            BodyBudget budget) {
        return new HttpEntryServer(
                group,
                address,
                handler,
                () -> mRequestLimits,
                mTimeSource,
                HttpEntryOptions.DEFAULT,
                budget);
    }

    /**
     * Starts the servers for clients, for the directory and for readiness checks.
     *
     * @param onBound runs on the traffic thread once the attempt to listen for clients has ended
     */
    void start(Runnable onBound) {
        mReadiness.start();
        mDirectory.start();
        mForward.ifPresent(HttpEntryServer::start);
        mEntry.start()
                .addListener(
                        bound -> {
                            mListening = bound.isSuccess();
                            onBound.run();
                        });
    }

    /**
     * Starts the server for metrics and operators, if the settings name its address. Must be called
     * on the control thread.
     */
    void serveOperators() {
        mAddresses.metrics().ifPresent(this::serveOperators);
    }

    /**
     * The handler is created by the first request, since its creation must not delay the start. The
     * server has a budget of its own, as it is not on the traffic thread.
     */
    private void serveOperators(ServerAddress address) {
        RequestHandler handler =
                (request, responder) -> mControlHandler.get().handle(request, responder);
        server(mControlGroup, address, handler, new BodyBudget(OPERATORS_BODIES)).start();
    }

    void setRequestLimits(RequestLimits limits) {
        mRequestLimits = limits;
    }

    boolean isListening() {
        return mListening;
    }

    HttpEntryServer entry() {
        return mEntry;
    }

    /** Begins to close the connections of clients and of other instances. */
    void drain() {
        mDrained.forEach(HttpEntryServer::drain);
    }

    /**
     * Closes the listening sockets, except that for readiness checks.
     *
     * @return a future that completes once no server accepts a connection
     */
    CompletableFuture<Void> stopAccepting() {
        return CompletableFuture.allOf(
                mDrained.stream()
                        .map(HttpEntryServer::stopAccepting)
                        .toArray(CompletableFuture[]::new));
    }

    /** Returns the number of requests and look-ups of clients and instances without an answer. */
    int openRequests() {
        return mDrained.stream().mapToInt(HttpEntryServer::openRequests).sum();
    }

    /** Returns the number of connections of clients and other instances. */
    int openConnections() {
        return mDrained.stream().mapToInt(HttpEntryServer::openConnections).sum();
    }

    HttpEntryServer directory() {
        return mDirectory;
    }
}
