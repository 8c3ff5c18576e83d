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
 * Chooses a backend server: each key has a few homes, its first servers by weighted rendezvous
 * hashing, and among these the load and the zone decide. A server of another region weighs less by
 * the same factor however many servers there are, so that a region with few servers keeps few keys.
 * All instances of a region draw the same preferences, so a key meets a server that had it lately,
 * whichever instance asks; a server that would be new to it is chosen only if all its homes are
 * much longer. Homes after the first cost a cache miss, as long as many answers show that servers
 * do not hold their objects: where objects are many, each key keeps to one server.
 *
 * @since 0.2
 */
public final class ServerChooser {

    /**
     * A server that fetches an object works longer, and evicts another one that it fetches again.
     */
    private static final double FETCHED_AND_EVICTED = 2;

    private PlacementSettings mSettings;
    private final CallOutlierDetector mJudge;
    private final Map<ServiceId, CacheMissCost> mCacheMissCosts = new HashMap<>();
    private final AnswerSizes mSizes = new AnswerSizes();

    /**
     * Makes a chooser.
     *
     * @param settings how much each thing counts
     * @param judge tells which servers fail or are slow
     */
    public ServerChooser(PlacementSettings settings, CallOutlierDetector judge) {
        mSettings = Assert.notNull(settings, "Placement settings");
        mJudge = Assert.notNull(judge, "A judge of outliers");
    }

    /**
     * Takes other settings, for the choices after this.
     *
     * @param settings how much each thing counts
     */
    public void applySettings(PlacementSettings settings) {
        mSettings = Assert.notNull(settings, "Placement settings");
    }

    /**
     * Takes the time of an answer that did not wait for a slot.
     *
     * @param service the service
     * @param nanos the time from the sending to the answer
     */
    public void answeredIn(ServiceId service, long nanos) {
        mCacheMissCosts
                .computeIfAbsent(service, id -> new CacheMissCost(mSettings.cacheMiss()))
                .answeredIn(nanos);
    }

    /**
     * Takes the size of an answer.
     *
     * @param route the route of the request
     * @param bytes the size of its body
     */
    public void answered(RouteId route, long bytes) {
        mSizes.answered(route, bytes);
    }

    /**
     * Forgets the routes that are gone.
     *
     * @param configuration the configuration in force
     */
    public void retain(RoutingConfiguration configuration) {
        mSizes.retain(configuration);
    }

    /**
     * Gives the judge, who must hear of each send and its end.
     *
     * @return the judge
     */
    public CallOutlierDetector outlierDetector() {
        return mJudge;
    }

    /**
     * Chooses a server.
     *
     * @param usable the servers that may take the request
     * @param request what is known of the request
     * @param nowNanos the monotonic time
     * @return the choice, or empty if no server is usable
     */
    public Optional<ServerChoice> choose(
            List<ServerLoad> usable, PlacementRequest request, long nowNanos) {
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        double perHome = perHome(usable);
        ServerChoice home = best(homes(usable, request), perHome, nowNanos);
        if (home.score() >= -nonHomePenalty(mSettings.homes(), perHome)) {
            return Optional.of(home);
        }
        return Optional.of(best(preferences(usable, request), perHome, nowNanos));
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
     * Tells what {@link #choose} makes of all of them, to explain a choice.
     *
     * @param usable the servers that may take the request
     * @param request what is known of the request
     * @param nowNanos the monotonic time
     * @return the usable servers, the chosen one first
     */
    public List<ServerChoice> ranked(
            List<ServerLoad> usable, PlacementRequest request, long nowNanos) {
        List<Preference> preferences = preferences(usable, request);
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
     * @param request what is known of the request
     * @param chosen the server that was chosen
     * @param nowNanos the monotonic time
     * @return the least loaded of the others, or empty if none is usable
     */
    public Optional<ServerChoice> otherHome(
            List<ServerLoad> usable, PlacementRequest request, ServerLoad chosen, long nowNanos) {
        return homes(usable, request).stream()
                .map(Preference::load)
                .filter(home -> home != chosen)
                .map(home -> new ServerChoice(home, -loadPenalty(home, nowNanos)))
                .max(Comparator.comparingDouble(ServerChoice::score));
    }

    /** Gives the servers, the most preferred first. */
    private List<Preference> preferences(List<ServerLoad> usable, PlacementRequest request) {
        int rounds = mSizes.furtherRounds(request.route().id());
        List<Preference> preferences = new ArrayList<>(usable.size());
        for (ServerLoad server : usable) {
            preferences.add(new Preference(server, preference(server, request.keyHash(), rounds)));
        }
        preferences.sort(Comparator.comparingDouble(Preference::value).reversed());
        return preferences;
    }

    /** Gives the first of the preferences alone, without sorting the others. */
    private List<Preference> homes(List<ServerLoad> usable, PlacementRequest request) {
        int rounds = mSizes.furtherRounds(request.route().id());
        int count = Math.min(mSettings.homes(), usable.size());
        List<Preference> homes = new ArrayList<>(count + 1);
        for (ServerLoad server : usable) {
            double value = preference(server, request.keyHash(), rounds);
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
     * Tells how much a key prefers a server, whatever its load.
     *
     * @param load the server
     * @param keyHash the hash of the key
     * @param furtherRounds the round trips that an answer takes after the first
     * @return at most 0; the greatest is the first home
     */
    double preference(ServerLoad load, long keyHash, int furtherRounds) {
        double drawn = Math.log(HashMixer.fraction(keyHash, load.hash()));
        return drawn / mSettings.weight(load.distance(), furtherRounds);
    }

    /** A key's first servers hold its object, if objects are few; others would have to fetch it. */
    private double rankPenalty(int rank, double perHome) {
        if (rank < mSettings.homes()) {
            return rank * perHome;
        }
        return nonHomePenalty(rank, perHome);
    }

    /** Gives the least penalty of servers from a rank on that do not hold the object. */
    private double nonHomePenalty(int rank, double perHome) {
        return Math.max(mSettings.cacheMiss(), perHome) + rank * mSettings.perHome();
    }

    /** Gives the penalty of each further home, the same for all servers of one service. */
    private double perHome(List<ServerLoad> servers) {
        if (servers.isEmpty()) {
            return mSettings.perHome();
        }
        CacheMissCost cost = mCacheMissCosts.get(servers.get(0).server().service());
        double miss = cost == null ? mSettings.cacheMiss() : cost.value();
        return Math.max(mSettings.perHome(), FETCHED_AND_EVICTED * miss);
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
        return mJudge.penalty(load.server().service(), load.server().id(), nowNanos);
    }

    /** How much a key prefers a server, whatever its load. */
    private record Preference(ServerLoad load, double value) {}
}
