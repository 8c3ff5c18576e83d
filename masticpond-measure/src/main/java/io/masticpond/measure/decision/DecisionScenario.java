package io.masticpond.measure.decision;

import io.masticpond.core.id.ServiceId;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Sizes of deployments as customers state them: where instances and servers stand, what is asked
 * for, and how servers work. Zones lie in the regions in turn.
 */
enum DecisionScenario {
    /** Ten instances, 38 servers, three regions of two zones, the second with 6 of all servers. */
    TEN_INSTANCES(new int[] {2, 2, 2, 2, 1, 1}, 55, 0.3, 0.25, 720) {
        @Override
        List<ServerGroup> servers() {
            return List.of(
                    new ServerGroup(LISTS, new int[] {3, 1, 3, 3, 1, 3}, 9, 27, 71),
                    new ServerGroup(BOOKINGS, new int[] {3, 1, 2, 3, 1, 2}, 4, 12, 27),
                    new ServerGroup(DOCUMENTS, new int[] {3, 1, 2, 3, 1, 2}, 8, 24, 50));
        }

        @Override
        List<RequestKind> kinds(int multiple) {
            return List.of(
                    new RequestKind(
                            "list", LISTS, 0.6, 480, 400, 2_500, 79 * multiple, 2, true, 400),
                    new RequestKind(
                            "book", BOOKINGS, 0.2, 640, 500, 3_000, 26 * multiple, 1, false, 400),
                    new RequestKind(
                            "download",
                            DOCUMENTS,
                            0.1,
                            384,
                            400,
                            2_000,
                            24 * multiple,
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
                            24 * multiple,
                            2,
                            true,
                            5_000));
        }
    },
    /**
     * 95 instances, 376 servers, three regions of three zones, the last with a tenth of all
     * servers; few slots a server, long work, few objects kept.
     */
    FLEET(new int[] {11, 11, 11, 12, 10, 11, 11, 9, 9}, 20, 0.25, 0.15, 2_000) {
        @Override
        List<ServerGroup> servers() {
            return List.of(
                    new ServerGroup(LISTS, perZone(26, 31, 6), 5, 15, 13),
                    new ServerGroup(BOOKINGS, perZone(19, 22, 5), 5, 15, 10),
                    new ServerGroup(DOCUMENTS, perZone(6, 7, 2), 4, 12, 19));
        }

        @Override
        List<RequestKind> kinds(int multiple) {
            return List.of(
                    new RequestKind(
                            "list",
                            LISTS,
                            0.524,
                            1_584,
                            800,
                            2_000,
                            196 * multiple,
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
                            109 * multiple,
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
                            68 * multiple,
                            0,
                            false,
                            1_500));
        }
    };

    private static final ServiceId LISTS = new ServiceId("lists");
    private static final ServiceId BOOKINGS = new ServiceId("bookings");
    private static final ServiceId DOCUMENTS = new ServiceId("documents");

    private final int[] mInstances;
    private final int mRegionMillis;
    private final double mKnownPart;
    private final double mSpread;
    private final double mRequestsPerSecond;

    DecisionScenario(
            int[] instances,
            int regionMillis,
            double knownPart,
            double spread,
            double requestsPerSecond) {
        mInstances = instances;
        mRegionMillis = regionMillis;
        mKnownPart = knownPart;
        mSpread = spread;
        mRequestsPerSecond = requestsPerSecond;
    }

    private static int[] perZone(int... perRegion) {
        return IntStream.range(0, 9).map(zone -> perRegion[zone % perRegion.length]).toArray();
    }

    /** Gives the servers of each service. */
    abstract List<ServerGroup> servers();

    /** Gives the kinds of requests, with so many times the usual objects. */
    abstract List<RequestKind> kinds(int multiple);

    /** Gives the instances of each zone. */
    int[] instances() {
        return mInstances.clone();
    }

    /** Gives the one-way delay between regions. */
    int regionMillis() {
        return mRegionMillis;
    }

    /** Gives the part of the time that work on a known object takes. */
    double knownPart() {
        return mKnownPart;
    }

    /** Gives the part by which times of work vary in both directions. */
    double spread() {
        return mSpread;
    }

    /** Gives the usual rate of requests. */
    double requestsPerSecond() {
        return mRequestsPerSecond;
    }
}
