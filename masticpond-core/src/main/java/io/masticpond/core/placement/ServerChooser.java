package io.masticpond.core.placement;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import io.masticpond.core.support.HashMixer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Load balancer that chooses a backend server. Each key has a few homes, its first servers by
 * weighted rendezvous hashing, and the choice among these depends on load and zone. The weight of a
 * server of another region is lower by the same factor regardless of the number of servers, so that
 * a region with few servers keeps few keys. All instances of a region compute the same preferences,
 * so a key is sent to a server that has processed it recently, whichever instance sends it; a
 * server that has not cached the key's object is chosen only if all homes have much longer queues.
 * Homes after the first cost a cache miss while many answers show that servers do not cache their
 * objects: if there are many objects, each key stays with one server.
 *
 * @since 0.2
 */
public final class ServerChooser {

    /**
     * Factor of the cost of a cache miss: the server takes longer to fetch the object, and evicts
     * another one that it must fetch again.
     */
    private static final double FETCH_AND_EVICTION_FACTOR = 2;

    private PlacementSettings mSettings;
    private RegionWeights mRegionWeights = RegionWeights.EQUAL;
    private final CallOutlierDetector mOutlierDetector;
    private final Map<ServiceId, CacheMissCost> mCacheMissCosts = new HashMap<>();
    private final AnswerSizes mAnswerSizes = new AnswerSizes();

    /**
     * Creates a chooser.
     *
     * @param settings the weights of the criteria
     * @param outlierDetector the detector of servers that fail or are slow
     */
    public ServerChooser(PlacementSettings settings, CallOutlierDetector outlierDetector) {
        mSettings = Assert.notNull(settings, "Placement settings");
        mOutlierDetector = Assert.notNull(outlierDetector, "An outlier detector");
    }

    /**
     * Replaces the settings for subsequent choices.
     *
     * @param settings the weights of the criteria
     */
    public void applySettings(PlacementSettings settings) {
        mSettings = Assert.notNull(settings, "Placement settings");
    }

    /**
     * Replaces the factors of regions for subsequent choices.
     *
     * @param weights the factors
     */
    public void setRegionWeights(RegionWeights weights) {
        mRegionWeights = Assert.notNull(weights, "Weights of regions");
    }

    /**
     * Records the time of an answer whose request did not wait for a slot.
     *
     * @param service the service
     * @param nanos the time in nanoseconds from the sending to the answer
     */
    public void recordAnswerTime(ServiceId service, long nanos) {
        mCacheMissCosts
                .computeIfAbsent(service, id -> new CacheMissCost(mSettings.cacheMiss()))
                .recordAnswerTime(nanos);
    }

    /**
     * Records the size of an answer.
     *
     * @param route the route of the request
     * @param bytes the size of its body in bytes
     */
    public void recordAnswerSize(RouteId route, long bytes) {
        mAnswerSizes.recordSize(route, bytes);
    }

    /**
     * Removes routes that are no longer configured.
     *
     * @param configuration the configuration in force
     */
    public void retain(RoutingConfiguration configuration) {
        mAnswerSizes.retain(configuration);
    }

    /**
     * Returns the outlier detector, which must be notified of the start and the end of each
     * request.
     *
     * @return the outlier detector
     */
    public CallOutlierDetector outlierDetector() {
        return mOutlierDetector;
    }

    /**
     * Chooses a server.
     *
     * @param usable the servers that may take the request
     * @param request the request
     * @param nowNanos the current monotonic time
     * @return the choice, or empty if no server is usable
     */
    public Optional<ServerChoice> choose(
            List<ServerLoad> usable, PlacementRequest request, long nowNanos) {
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        double perHome = perHome(usable);
        ServerChoice home = best(homes(usable, request, nowNanos), perHome, nowNanos);
        if (home.score() >= -nonHomePenalty(mSettings.homes(), perHome)) {
            return Optional.of(home);
        }
        return Optional.of(best(preferences(usable, request, nowNanos), perHome, nowNanos));
    }

    private ServerChoice best(List<Preference> preferences, double perHome, long nowNanos) {
        ServerLoad best = null;
        double bestScore = 0;
        for (int rank = 0; rank < preferences.size(); rank++) {
            ServerLoad server = preferences.get(rank).load();
            double score = score(server, rank, perHome, nowNanos);
            if (best == null || score > bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return new ServerChoice(best, bestScore);
    }

    /**
     * Ranks all usable servers as {@link #choose} does, to explain a choice.
     *
     * @param usable the servers that may take the request
     * @param request the request
     * @param nowNanos the current monotonic time
     * @return the usable servers, the chosen one first
     */
    public List<ServerChoice> ranked(
            List<ServerLoad> usable, PlacementRequest request, long nowNanos) {
        List<Preference> preferences = preferences(usable, request, nowNanos);
        double perHome = perHome(usable);
        List<ServerChoice> choices = new ArrayList<>(preferences.size());
        for (int rank = 0; rank < preferences.size(); rank++) {
            ServerLoad server = preferences.get(rank).load();
            choices.add(new ServerChoice(server, score(server, rank, perHome, nowNanos)));
        }
        choices.sort(Comparator.comparingDouble(ServerChoice::score).reversed());
        return choices;
    }

    /**
     * Chooses among a key's other homes, for a request that would be refused at the chosen one.
     *
     * @param usable the servers that may take the request
     * @param request the request
     * @param chosen the server that was chosen
     * @param nowNanos the current monotonic time
     * @return the least loaded of the others, or empty if none is usable
     */
    public Optional<ServerChoice> otherHome(
            List<ServerLoad> usable, PlacementRequest request, ServerLoad chosen, long nowNanos) {
        return homes(usable, request, nowNanos).stream()
                .map(Preference::load)
                .filter(home -> home != chosen)
                .map(home -> new ServerChoice(home, -loadPenalty(home, nowNanos)))
                .max(Comparator.comparingDouble(ServerChoice::score));
    }

    /**
     * Returns the homes of the key of a request, regardless of load.
     *
     * @param usable the servers that may take the request
     * @param request the request
     * @param nowNanos the current monotonic time
     * @return the homes, the first home first
     */
    public List<ServerLoad> homeServers(
            List<ServerLoad> usable, PlacementRequest request, long nowNanos) {
        return homes(usable, request, nowNanos).stream().map(Preference::load).toList();
    }

    /** Returns the servers, the most preferred first. */
    private List<Preference> preferences(
            List<ServerLoad> usable, PlacementRequest request, long nowNanos) {
        int rounds = mAnswerSizes.furtherRounds(request.route().id());
        List<Preference> preferences = new ArrayList<>(usable.size());
        for (ServerLoad server : usable) {
            preferences.add(new Preference(server, preference(server, request, rounds, nowNanos)));
        }
        preferences.sort(Comparator.comparingDouble(Preference::value).reversed());
        return preferences;
    }

    /** Returns only the homes, the first of the preferences, without sorting the others. */
    private List<Preference> homes(
            List<ServerLoad> usable, PlacementRequest request, long nowNanos) {
        int rounds = mAnswerSizes.furtherRounds(request.route().id());
        int count = Math.min(mSettings.homes(), usable.size());
        List<Preference> homes = new ArrayList<>(count + 1);
        for (ServerLoad server : usable) {
            double value = preference(server, request, rounds, nowNanos);
            int rank = homes.size();
            while (rank > 0 && homes.get(rank - 1).value() < value) {
                rank--;
            }
            if (rank < count) {
                homes.add(rank, new Preference(server, value));
                if (homes.size() > count) {
                    homes.remove(count);
                }
            }
        }
        return homes;
    }

    private double score(ServerLoad server, int rank, double perHome, long nowNanos) {
        return -rankPenalty(rank, perHome)
                - mSettings.zonePenalty(server.distance())
                - loadPenalty(server, nowNanos);
    }

    /**
     * Returns the preference of a key for a server, regardless of load.
     *
     * @param load the server
     * @param request the request with the hash of the key
     * @param furtherRounds the round trips that an answer takes after the first
     * @param nowNanos the current monotonic time
     * @return a value of at most 0; the server with the greatest is the first home
     */
    double preference(ServerLoad load, PlacementRequest request, int furtherRounds, long nowNanos) {
        double drawn = Math.log(HashMixer.fraction(request.keyHash(), load.hash()));
        double weight =
                mSettings.weight(load.distance(), furtherRounds)
                        * mRegionWeights.factor(request.service(), load.server(), nowNanos);
        return drawn / weight;
    }

    /**
     * Returns the penalty of a rank. The homes of a key cache its object if there are few objects;
     * other servers would have to fetch it.
     */
    private double rankPenalty(int rank, double perHome) {
        if (rank < mSettings.homes()) {
            return rank * perHome;
        }
        return nonHomePenalty(rank, perHome);
    }

    /** Returns the lowest penalty, from a rank on, of servers that do not cache the object. */
    private double nonHomePenalty(int rank, double perHome) {
        return Math.max(mSettings.cacheMiss(), perHome) + rank * mSettings.perHome();
    }

    /**
     * Returns the penalty of each further home, which is the same for all servers of one service.
     */
    private double perHome(List<ServerLoad> servers) {
        if (servers.isEmpty()) {
            return mSettings.perHome();
        }
        CacheMissCost cost = mCacheMissCosts.get(servers.get(0).server().service());
        double miss = cost == null ? mSettings.cacheMiss() : cost.value();
        return Math.max(mSettings.perHome(), FETCH_AND_EVICTION_FACTOR * miss);
    }

    private double loadPenalty(ServerLoad load, long nowNanos) {
        double slots = load.server().slots();
        double inFlight = load.inFlight(nowNanos);
        double busy = Math.min(1, inFlight / slots);
        double queued = Math.max(0, inFlight + 1 - slots) / slots;
        return mSettings.perBusy() * busy
                + mSettings.perQueued() * queued
                + mSettings.failing() * penalty(load, nowNanos);
    }

    private double penalty(ServerLoad load, long nowNanos) {
        return mOutlierDetector.penalty(load.server().service(), load.server().id(), nowNanos);
    }

    /** Preference of a key for a server, regardless of load. */
    private record Preference(ServerLoad load, double value) {}
}
