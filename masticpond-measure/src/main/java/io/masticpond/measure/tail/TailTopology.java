package io.masticpond.measure.tail;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.ArrayList;
import java.util.List;

/**
 * Topology of the run: one region of two availability zones with 16 backend servers, which have
 * alternately 3 and 4 slots, and 9 entry instances.
 */
final class TailTopology {

    static final int SERVERS = 16;
    static final int INSTANCES = 9;
    static final int SLOTS = SERVERS / 2 * (3 + 4);

    /** One-way delay between a client and an instance, and between availability zones. */
    static final long LONG_DELAY_NANOS = 1_000_000;

    /** One-way delay within an availability zone, an assumption that no requirement specifies. */
    static final long SHORT_DELAY_NANOS = 100_000;

    private static final int ZONES = 2;
    private static final int FIRST_PORT = 9_000;
    private static final int CONNECTIONS = 360;

    private TailTopology() {}

    static int slots(int server) {
        return server % 2 == 0 ? 3 : 4;
    }

    static long instanceToServerNanos(int instance, int server) {
        return delay(instance % ZONES, serverZone(server));
    }

    static long instanceToInstanceNanos(int from, int to) {
        return from == to ? 0 : delay(from % ZONES, to % ZONES);
    }

    static InstanceId instance(int number) {
        return new InstanceId("casa-" + number);
    }

    static List<InstanceId> instances() {
        List<InstanceId> instances = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(instance(i));
        }
        return instances;
    }

    static List<BackendServerSpecification> servers() {
        List<BackendServerSpecification> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(
                    new BackendServerSpecification(
                            new BackendServerId("layout-view-" + i),
                            new ZoneId("casa-zone-" + serverZone(i)),
                            "127.0.0.1:" + (FIRST_PORT + i),
                            slots(i),
                            CONNECTIONS,
                            false));
        }
        return servers;
    }

    private static int serverZone(int server) {
        return server / 2 % ZONES;
    }

    private static long delay(int fromZone, int toZone) {
        return fromZone == toZone ? SHORT_DELAY_NANOS : LONG_DELAY_NANOS;
    }
}
