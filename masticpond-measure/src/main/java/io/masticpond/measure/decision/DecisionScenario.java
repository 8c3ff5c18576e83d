package io.masticpond.measure.decision;

import io.masticpond.core.id.ServiceId;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Simulated deployments of sizes that customers state: the placement of instances and backend
 * servers, the mix of requests, and the work of servers. Availability zones are assigned to the
 * regions in turn.
 */
enum DecisionScenario {
    /**
     * Ten instances and 38 servers in three regions of two zones; the second region has 6 servers.
     */
    TEN_INSTANCES(new int[] {2, 2, 2, 2, 1, 1}, 55, 0.3, 0.25, 720) {
        @Override
        List<ServerGroup> serverGroups() {
            return List.of(
                    new ServerGroup(LISTS, new int[] {3, 1, 3, 3, 1, 3}, 9, 27, 71),
                    new ServerGroup(BOOKINGS, new int[] {3, 1, 2, 3, 1, 2}, 4, 12, 27),
                    new ServerGroup(DOCUMENTS, new int[] {3, 1, 2, 3, 1, 2}, 8, 24, 50));
        }

        @Override
        List<RequestKind> requestKinds(int objectMultiple) {
            return List.of(
                    new RequestKind(
                            "list", LISTS, 0.6, 480, 400, 2_500, 79 * objectMultiple, 2, true, 400),
                    new RequestKind(
                            "book",
                            BOOKINGS,
                            0.2,
                            640,
                            500,
                            3_000,
                            26 * objectMultiple,
                            1,
                            false,
                            400),
                    new RequestKind(
                            "download",
                            DOCUMENTS,
                            0.1,
                            384,
                            400,
                            2_000,
                            24 * objectMultiple,
                            2,
                            true,
                            90_000),
                    new RequestKind(
                            "history",
                            DOCUMENTS,
                            0.1,
                            1_920,
                            1_200,
                            2_500,
                            24 * objectMultiple,
                            2,
                            true,
                            5_000));
        }
    },
    /**
     * 95 instances and 376 servers in three regions of three zones; the last region has a tenth of
     * all servers. Servers have few slots and small caches, and requests take long.
     */
    FLEET(new int[] {11, 11, 11, 12, 10, 11, 11, 9, 9}, 20, 0.25, 0.15, 2_000) {
        @Override
        List<ServerGroup> serverGroups() {
            return List.of(
                    new ServerGroup(LISTS, perZone(26, 31, 6), 5, 15, 13),
                    new ServerGroup(BOOKINGS, perZone(19, 22, 5), 5, 15, 10),
                    new ServerGroup(DOCUMENTS, perZone(6, 7, 2), 4, 12, 19));
        }

        @Override
        List<RequestKind> requestKinds(int objectMultiple) {
            return List.of(
                    new RequestKind(
                            "list",
                            LISTS,
                            0.524,
                            1_584,
                            800,
                            2_000,
                            196 * objectMultiple,
                            2,
                            true,
                            1_500),
                    new RequestKind(
                            "book",
                            BOOKINGS,
                            0.293,
                            2_064,
                            1_200,
                            2_500,
                            109 * objectMultiple,
                            1,
                            false,
                            1_500),
                    new RequestKind(
                            "release",
                            DOCUMENTS,
                            0.183,
                            1_104,
                            600,
                            1_500,
                            68 * objectMultiple,
                            0,
                            false,
                            1_500));
        }
    };

    private static final ServiceId LISTS = new ServiceId("lists");
    private static final ServiceId BOOKINGS = new ServiceId("bookings");
    private static final ServiceId DOCUMENTS = new ServiceId("documents");

    private final int[] mInstancesPerZone;
    private final int mRegionDelayMillis;
    private final double mCachedWorkShare;
    private final double mWorkSpread;
    private final double mRequestsPerSecond;

    DecisionScenario(
            int[] instancesPerZone,
            int regionDelayMillis,
            double cachedWorkShare,
            double workSpread,
            double requestsPerSecond) {
        mInstancesPerZone = instancesPerZone;
        mRegionDelayMillis = regionDelayMillis;
        mCachedWorkShare = cachedWorkShare;
        mWorkSpread = workSpread;
        mRequestsPerSecond = requestsPerSecond;
    }

    private static int[] perZone(int... perRegion) {
        return IntStream.range(0, 9).map(zone -> perRegion[zone % perRegion.length]).toArray();
    }

    /** Returns the group of servers of each service. */
    abstract List<ServerGroup> serverGroups();

    /**
     * Returns the kinds of requests.
     *
     * @param objectMultiple the factor on the default number of objects
     */
    abstract List<RequestKind> requestKinds(int objectMultiple);

    /** Returns the number of instances in each zone. */
    int[] instancesPerZone() {
        return mInstancesPerZone.clone();
    }

    /** Returns the one-way delay between regions, in milliseconds. */
    int regionDelayMillis() {
        return mRegionDelayMillis;
    }

    /** Returns the duration of work on a cached object as a share of that on an uncached one. */
    double cachedWorkShare() {
        return mCachedWorkShare;
    }

    /** Returns the share by which the duration of work varies in both directions. */
    double workSpread() {
        return mWorkSpread;
    }

    /** Returns the rate of requests without a {@link LoadPattern#BURST}, per second. */
    double requestsPerSecond() {
        return mRequestsPerSecond;
    }
}
