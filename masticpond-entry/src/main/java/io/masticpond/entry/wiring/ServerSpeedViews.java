package io.masticpond.entry.wiring;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.placement.ServiceSpeeds;
import io.masticpond.core.speed.ServiceSpeed;
import io.masticpond.entry.control.ServiceSpeedSource;
import io.masticpond.entry.control.ServiceSpeedView;
import io.masticpond.entry.control.ServiceSpeedView.SlowServer;
import java.util.ArrayList;
import java.util.List;

/** {@link ServiceSpeedSource} for the servers that this instance knows. */
final class ServerSpeedViews implements ServiceSpeedSource {

    private final ServerTable mServers;
    private final ServiceSpeeds mSpeeds;

    ServerSpeedViews(ServerTable servers, ServiceSpeeds speeds) {
        mServers = servers;
        mSpeeds = speeds;
    }

    @Override
    public List<ServiceSpeedView> views(long nowNanos) {
        List<ServiceSpeedView> views = new ArrayList<>();
        for (ServiceId service : mServers.services()) {
            ServiceSpeed speed = mSpeeds.of(service);
            if (speed != null && mSpeeds.isActive(service, nowNanos)) {
                views.add(
                        new ServiceSpeedView(
                                service,
                                speed.persistence().nanos(),
                                slowServers(service, speed, nowNanos)));
            }
        }
        return views;
    }

    private List<SlowServer> slowServers(ServiceId service, ServiceSpeed speed, long nowNanos) {
        List<SlowServer> slow = new ArrayList<>();
        for (ServerLoad server : mServers.of(service)) {
            if (server.speed().isReported()) {
                long ageNanos = server.speed().ageNanos(nowNanos);
                double slowdown = speed.expectedSlowdown(server.speed(), ageNanos);
                if (mSpeeds.isSlow(service, slowdown)) {
                    slow.add(new SlowServer(server.server().id(), slowdown, ageNanos));
                }
            }
        }
        return slow;
    }
}
