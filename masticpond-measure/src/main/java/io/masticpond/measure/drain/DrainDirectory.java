package io.masticpond.measure.drain;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.admission.SlotShare;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.daemon.steering.ShardDirectory;
import io.masticpond.testing.backend.BackendFleet;
import java.util.ArrayList;
import java.util.List;

/**
 * {@link ShardDirectory} with one shard of all servers, which is admitted at this instance.
 *
 * <p>Must be used only on the thread of the steering event loop once that has started.
 */
final class DrainDirectory implements ShardDirectory {

    static final ServiceId SERVICE = new ServiceId("layout-view");
    static final Shard SHARD = new Shard(SERVICE, new RegionId("casa"), 0);

    private static final InstanceId SELF = new InstanceId("casa-a-1");
    private static final ZoneId ZONE = new ZoneId("casa-a");
    private static final int CONNECTIONS = 360;

    private final List<BackendServerSpecification> mServers = new ArrayList<>();

    DrainDirectory(BackendFleet fleet) {
        fleet.servers()
                .forEach(
                        server ->
                                mServers.add(
                                        new BackendServerSpecification(
                                                new BackendServerId(server.id()),
                                                ZONE,
                                                server.address(),
                                                server.counts().slots(),
                                                CONNECTIONS,
                                                false)));
    }

    /** Marks a server as leaving, as a change of the configuration does. */
    void markLeaving(int number) {
        BackendServerSpecification server = mServers.get(number);
        mServers.set(
                number,
                new BackendServerSpecification(
                        server.id(),
                        server.zone(),
                        server.address(),
                        server.slots(),
                        server.connections(),
                        true));
    }

    @Override
    public List<ShardRoute> routes(ServiceId service, RegionId region) {
        return List.of(new ShardRoute(SHARD, List.of(SELF)));
    }

    @Override
    public boolean admitsHere(Shard shard) {
        return SHARD.equals(shard);
    }

    @Override
    public List<InstanceId> otherInstances(RequestId request) {
        return List.of();
    }

    @Override
    public void recordForward(Shard shard) {
        // Every shard is admitted at this instance, so no request is forwarded.
    }

    @Override
    public List<Shard> shardsHere() {
        return List.of(SHARD);
    }

    @Override
    public List<BackendServerSpecification> servers(Shard shard) {
        return List.copyOf(mServers);
    }

    @Override
    public Headroom observe(Shard shard, Headroom headroom) {
        return headroom;
    }

    @Override
    public SlotShare share(Shard shard) {
        return SlotShare.whole(SELF);
    }
}
