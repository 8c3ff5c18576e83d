package io.masticpond.entry.wiring;

import io.masticpond.entry.directory.DirectoryDecider;
import io.masticpond.entry.directory.DirectorySettings;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.settings.Bounds;
import io.masticpond.entry.settings.EntrySettings;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Request handler that answers clients that ask which instance to connect to, with the bounds in
 * force.
 */
@Singleton
final class DirectoryHandler implements RequestHandler {

    private final PlatformAdapter mPlatform;
    private final PeerView mPeers;
    private final PeerInstance mSelf;
    private final EntrySettings mSettings;
    private volatile RequestHandler mHandler;

    @Inject
    DirectoryHandler(
            PlatformAdapter platform, PeerView peers, PeerInstance self, EntrySettings settings) {
        mPlatform = platform;
        mPeers = peers;
        mSelf = self;
        mSettings = settings;
        apply(settings.bounds());
    }

    /** Applies other bounds to all later requests. */
    void apply(Bounds bounds) {
        DirectorySettings bounded = DirectorySettings.DEFAULT.within(bounds.directoryLifetime());
        mHandler =
                mPlatform.directoryHandler(
                        new DirectoryDecider(bounded, mPeers, mSelf.id()), mSettings);
    }

    @Override
    public void handle(IncomingRequest request, Responder responder) {
        mHandler.handle(request, responder);
    }
}
