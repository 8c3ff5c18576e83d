package io.masticpond.entry.wiring;

import dagger.Lazy;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.control.ControlHandler;
import io.masticpond.entry.http.HttpEntryOptions;
import io.masticpond.entry.http.HttpEntryServer;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.lifecycle.Readiness;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoopGroup;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Where an instance listens, but for other instances. */
@Singleton
final class EntryListeners {

    private final TimeSource mTimeSource;
    private final EventLoopGroup mControlGroup;
    private final EntrySettings.Listeners mAddresses;
    private final Lazy<ControlHandler> mControlHandler;
    private final HttpEntryServer mEntry;
    private final HttpEntryServer mDirectory;
    private final HttpEntryServer mReadiness;
    private volatile boolean mListening;
    private volatile RequestLimits mRequestLimits = RequestLimits.DEFAULT;

    /** Readiness asks whether this listens, so it is joined after this. */
    @Inject
    EntryListeners(
            @TrafficThread EventLoopGroup trafficGroup,
            @ControlThread EventLoopGroup controlGroup,
            EntrySettings settings,
            PlatformAdapter platform,
            TimeSource timeSource,
            RequestFlow flow,
            DirectoryHandler directory,
            Lazy<Readiness> readiness,
            Lazy<ControlHandler> controlHandler) {
        mTimeSource = timeSource;
        mControlGroup = controlGroup;
        mAddresses = settings.listeners();
        mControlHandler = controlHandler;
        mEntry = server(trafficGroup, mAddresses.entry(), flow);
        mDirectory = server(trafficGroup, mAddresses.directory(), directory);
        mReadiness =
                server(
                        trafficGroup,
                        mAddresses.readiness(),
                        platform.readinessHandler(() -> readiness.get().isReady()));
    }

    private HttpEntryServer server(
            EventLoopGroup group, ServerAddress address, RequestHandler handler) {
        return new HttpEntryServer(
                group,
                address,
                handler,
                () -> mRequestLimits,
                mTimeSource,
                HttpEntryOptions.DEFAULT);
    }

    /**
     * Takes clients, and those who ask whether and where they may come.
     *
     * @param listening is run once clients can connect, on the traffic thread
     */
    void start(Runnable listening) {
        mReadiness.start();
        mDirectory.start();
        mEntry.start()
                .addListener(
                        bound -> {
                            mListening = bound.isSuccess();
                            listening.run();
                        });
    }

    /** Takes scrapers and operators, if the settings say where; on the control thread. */
    void serveOperators() {
        mAddresses.metrics().ifPresent(this::serveOperators);
    }

    /** What answers them is made when the first one asks, since a start must not wait for it. */
    private void serveOperators(ServerAddress address) {
        RequestHandler handler =
                (request, responder) -> mControlHandler.get().handle(request, responder);
        server(mControlGroup, address, handler).start();
    }

    void limit(RequestLimits limits) {
        mRequestLimits = limits;
    }

    boolean isListening() {
        return mListening;
    }

    HttpEntryServer entry() {
        return mEntry;
    }

    HttpEntryServer directory() {
        return mDirectory;
    }
}
