package io.masticpond.core.room;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.loadcontrol.LoadControlMode;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.support.HashMixer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleUnaryOperator;

/**
 * Driver of one balancer with three regions of two zones, the first with a tenth of the servers.
 */
final class RegionSimulation {

    static final ServiceId SERVICE = new ServiceId("lookup");
    static final long STEP_MILLIS = 250;
    static final double REGION_SHIFT = 0.15;
    static final int KEYS = 2_000;
    static final int REGIONS = 3;
    static final double FAR = Math.exp(-1.75);

    private static final int SLOTS = 6;
    private static final int[] SERVERS = {8, 34, 34};
    private static final double MEAN_PER_SECOND = 256;
    private static final double WAVE_SECONDS = 36;
    private static final long OCCUPATION_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    final LoadControlActivation mActivation;
    final RegionBalancer mBalancer;
    final ServerTable mTable;
    final Map<ZoneId, Double> mNoise = new HashMap<>();
    long mNowMillis = 1_000;
    double mOccupationScale = 1;
    DoubleUnaryOperator mScale = region -> 1;

    RegionSimulation(LoadControlMode mode) {
        mActivation = new LoadControlActivation(new LoadControlSettings(mode, 0, 0, 0.95, 1.5));
        Map<ZoneId, RegionId> regions = new HashMap<>();
        for (int each = 0; each < 2 * REGIONS; each++) {
            regions.put(zone(each), region(each / 2));
        }
        mBalancer = new RegionBalancer(regions, mActivation);
        mTable = new ServerTable(zone(0), regions);
        register(0, 1, 2);
    }

    static ZoneId zone(int index) {
        return new ZoneId("zone-" + index);
    }

    static RegionId region(int index) {
        return new RegionId("region-" + index);
    }

    /** Registers the servers of some regions and removes those of the others. */
    void register(int... regions) {
        Map<BackendServerId, RegisteredServer> servers = new HashMap<>();
        for (int region : regions) {
            for (int each = 0; each < SERVERS[region]; each++) {
                BackendServerId id = new BackendServerId("server-" + region + "-" + each);
                ServerAddress address = new ServerAddress("127.0.0.1", 1_000 + each);
                ZoneId zone = zone(2 * region + each % 2);
                servers.put(id, new RegisteredServer(id, SERVICE, address, zone, SLOTS, false, 0));
            }
        }
        mTable.update(new FleetSnapshot(1, Optional.empty(), servers, Set.of()), nanos());
    }

    long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    /** Returns the demand in a region, a wave with a phase of its own if it is to move. */
    double perSecond(int region, boolean isWave) {
        double angle = 2 * Math.PI * (mNowMillis / 1e3 / WAVE_SECONDS + region / (double) REGIONS);
        double wave = isWave ? 1 + 0.5 * Math.sin(angle) : 1;
        return MEAN_PER_SECOND * wave * mScale.applyAsDouble(region);
    }

    /** Advances by a quarter of a second; only the given regions report. */
    void advance(boolean isWave, int... reporting) {
        mNowMillis += STEP_MILLIS;
        Map<ZoneId, Double> perSecond = new HashMap<>();
        for (int region : reporting) {
            for (int zone = 2 * region; zone < 2 * region + 2; zone++) {
                double noise = mNoise.getOrDefault(zone(zone), 1.0);
                perSecond.put(zone(zone), perSecond(region, isWave) / 2 * noise);
            }
        }
        mBalancer.update(
                SERVICE,
                new RegionBalancer.Observation(
                        perSecond, (long) (OCCUPATION_NANOS * mOccupationScale), FAR),
                mTable,
                Map.of(),
                REGION_SHIFT,
                nanos());
    }

    void advanceSeconds(int seconds, boolean isWave, int... reporting) {
        for (long each = 0; each < seconds * 1_000L / STEP_MILLIS; each++) {
            advance(isWave, reporting);
        }
    }

    /**
     * Returns the first home of each key for the callers of a region, by the balancer's factors.
     */
    int[] homes(int caller, boolean isBalanced) {
        List<RegisteredServer> servers = new ArrayList<>();
        mTable.of(SERVICE).forEach(load -> servers.add(load.server()));
        double[] weights = new double[servers.size()];
        long[] hashes = new long[servers.size()];
        int[] regions = new int[servers.size()];
        for (int each = 0; each < weights.length; each++) {
            RegisteredServer server = servers.get(each);
            hashes[each] = HashMixer.hash(server.id().value());
            regions[each] = Integer.parseInt(server.zone().value().substring(5)) / 2;
            weights[each] = regions[each] == caller ? 1 : FAR;
            weights[each] *= isBalanced ? mBalancer.factor(SERVICE, server, nanos()) : 1;
        }
        int[] homes = new int[KEYS];
        for (int key = 0; key < KEYS; key++) {
            double best = Double.NEGATIVE_INFINITY;
            for (int each = 0; each < weights.length; each++) {
                double value = Math.log(HashMixer.fraction(key, hashes[each])) / weights[each];
                if (value > best) {
                    best = value;
                    homes[key] = regions[each];
                }
            }
        }
        return homes;
    }

    /** Returns the utilization of a region, from the homes of the keys. */
    double utilization(int region, boolean isWave, boolean isBalanced) {
        double perSecond = 0;
        for (int caller = 0; caller < REGIONS; caller++) {
            long there = Arrays.stream(homes(caller, isBalanced)).filter(h -> h == region).count();
            perSecond += perSecond(caller, isWave) * there / KEYS;
        }
        return perSecond * OCCUPATION_NANOS / 1e9 / (SERVERS[region] * SLOTS);
    }

    double factor(int region) {
        return mBalancer
                .factors()
                .getOrDefault(SERVICE, Map.of())
                .getOrDefault(region(region), 1.0);
    }

    /** Returns the share of the keys that have different homes. */
    static double difference(int[] left, int[] right) {
        int different = 0;
        for (int key = 0; key < KEYS; key++) {
            different += left[key] == right[key] ? 0 : 1;
        }
        return (double) different / KEYS;
    }
}
