package io.masticpond.core.placement;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.loadcontrol.LoadControlMode;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.speed.RunTimes;
import io.masticpond.core.speed.ServiceSpeed;
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
    private final ServiceSpeeds mSpeeds;

    /**
     * Creates a chooser that does not consider expected latencies.
     *
     * @param settings the weights of the criteria
     * @param outlierDetector the detector of servers that fail or are slow
     */
    public ServerChooser(PlacementSettings settings, CallOutlierDetector outlierDetector) {
        this(
                settings,
                outlierDetector,
                new LoadControlActivation(
                        new LoadControlSettings(LoadControlMode.OFF, 0, 0, 1, 2)));
    }

    /**
     * Creates a chooser.
     *
     * @param settings the weights of the criteria
     * @param outlierDetector the detector of servers that fail or are slow
     * @param loadControl the rule that determines for which services expected latencies are
     *     considered
     */
    public ServerChooser(
            PlacementSettings settings,
            CallOutlierDetector outlierDetector,
            LoadControlActivation loadControl) {
        mSettings = Assert.notNull(settings, "Placement settings");
        mOutlierDetector = Assert.notNull(outlierDetector, "An outlier detector");
        mSpeeds = new ServiceSpeeds(loadControl);
    }

    /**
     * Returns the speeds of the servers of all services.
     *
     * @return the speeds
     */
    public ServiceSpeeds speeds() {
        return mSpeeds;
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
     * Returns the weight of a server of another region as a home of the keys of a route, without
     * the factor of its region.
     *
     * @param route the route
     * @return the weight relative to a server of this instance's region, above 0, at most 1
     */
    public double otherRegionWeight(RouteId route) {
        return mSettings.weight(Distance.OTHER_REGION, mAnswerSizes.furtherRounds(route));
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
        mSpeeds.retain(configuration.services().keySet());
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
        ServerScorer scorer = scorer(usable, request, nowNanos);
        ServerChoice home = best(homes(usable, request, scorer, nowNanos), scorer);
        if (scorer.isSufficient(home)) {
            return Optional.of(home);
        }
        return Optional.of(best(preferences(usable, request, nowNanos), scorer));
    }

    private static ServerChoice best(List<Preference> preferences, ServerScorer scorer) {
        ServerChoice best = null;
        for (int rank = 0; rank < preferences.size(); rank++) {
            ServerChoice each = scorer.score(preferences.get(rank).load(), rank);
            if (best == null || each.score() > best.score()) {
                best = each;
            }
        }
        return best;
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
        ServerScorer scorer = scorer(usable, request, nowNanos);
        List<ServerChoice> choices = new ArrayList<>(preferences.size());
        for (int rank = 0; rank < preferences.size(); rank++) {
            choices.add(scorer.score(preferences.get(rank).load(), rank));
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
     * @return the best of the others, or empty if none is usable
     */
    public Optional<ServerChoice> otherHome(
            List<ServerLoad> usable, PlacementRequest request, ServerLoad chosen, long nowNanos) {
        ServerScorer scorer = scorer(usable, request, nowNanos);
        List<Preference> homes = homes(usable, request, scorer, nowNanos);
        ServerChoice best = null;
        for (int rank = 0; rank < homes.size(); rank++) {
            if (homes.get(rank).load() == chosen) {
                continue;
            }
            ServerChoice each = scorer.scoreAlternative(homes.get(rank).load(), rank);
            if (best == null || each.score() > best.score()) {
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the scorer for a request. Expected latencies are compared only if the run times of
     * the route are known, since a comparison without them would ignore the cost of a miss.
     */
    private ServerScorer scorer(List<ServerLoad> usable, PlacementRequest request, long nowNanos) {
        if (mSpeeds.isActive(request.service(), nowNanos)) {
            ServiceSpeed service = mSpeeds.of(request.service());
            RunTimes times = service == null ? null : service.runTimes(request.route().id());
            if (times != null) {
                return new LatencyScorer(
                        mSettings,
                        mOutlierDetector,
                        service,
                        times,
                        mSpeeds.roundTrips(),
                        1 + mAnswerSizes.furtherRounds(request.route().id()),
                        request,
                        nowNanos);
            }
        }
        return new PenaltyScorer(mSettings, mOutlierDetector, perHome(usable), nowNanos);
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
        return homes(usable, request, scorer(usable, request, nowNanos), nowNanos).stream()
                .map(Preference::load)
                .toList();
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

    /** Returns only the first of the preferences, without sorting the others. */
    private List<Preference> homes(
            List<ServerLoad> usable, PlacementRequest request, ServerScorer scorer, long nowNanos) {
        int rounds = mAnswerSizes.furtherRounds(request.route().id());
        int count = Math.min(scorer.comparedHomes(), usable.size());
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
        double weight = mSettings.weight(load.distance(), furtherRounds);
        if (request.route().homeRegions().isEmpty()) {
            weight *= mRegionWeights.factor(request.service(), load.server(), nowNanos);
        }
        return drawn / weight;
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

    /** Preference of a key for a server, regardless of load. */
    private record Preference(ServerLoad load, double value) {}
}
