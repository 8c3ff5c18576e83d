package io.masticpond.entry.replica;

import io.masticpond.core.freshness.VerificationSchedule;
import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings of a replica.
 *
 * @param calls the settings of calls to the store
 * @param outage the settings for outages of the store
 * @param relay the settings of requests to peers
 * @param watching the settings of shared watching within an availability zone
 * @param verification the schedules by which the copies are verified
 * @since 0.2
 */
public record ReplicaSettings(
        Calls calls, Outage outage, Relay relay, Watching watching, Verification verification) {

    /** Default settings, for a store that answers within some milliseconds. */
    public static final ReplicaSettings DEFAULT =
            new ReplicaSettings(
                    new Calls(
                            Duration.ofSeconds(30),
                            Duration.ofSeconds(1),
                            Duration.ofSeconds(3),
                            Duration.ofMillis(50),
                            Duration.ofSeconds(1),
                            Duration.ofMillis(50),
                            Duration.ofMillis(150),
                            Duration.ofMillis(1_000)),
                    new Outage(
                            Duration.ofMillis(700),
                            Duration.ofMillis(1_500),
                            Duration.ofMillis(2_500),
                            Duration.ofSeconds(1),
                            Duration.ofSeconds(6),
                            Duration.ofSeconds(60)),
                    new Relay(
                            Duration.ofMillis(250),
                            Duration.ofSeconds(1),
                            Duration.ofMillis(700),
                            Duration.ofSeconds(2)),
                    new Watching(
                            2,
                            Duration.ofSeconds(1),
                            Duration.ofMillis(400),
                            Duration.ofMillis(250),
                            Duration.ofSeconds(1),
                            Duration.ofSeconds(3)),
                    Verification.within(
                            Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofSeconds(3)));

    /** Checks that no component is {@code null}. */
    public ReplicaSettings {
        Assert.notNull(calls, "The times of calls");
        Assert.notNull(outage, "The times of outages");
        Assert.notNull(relay, "The times of the relay");
        Assert.notNull(watching, "The sharing of watches");
        Assert.notNull(verification, "The verification of copies");
    }

    /**
     * Returns a copy of the settings with another number of watchers.
     *
     * @param count the number of ready instances of an availability zone that watch the store
     * @return the settings
     */
    public ReplicaSettings withWatchersInZone(int count) {
        Watching changed =
                new Watching(
                        count,
                        watching.hold(),
                        watching.margin(),
                        watching.checkEvery(),
                        watching.avoidFor(),
                        watching.ownWatchFor());
        return new ReplicaSettings(calls, outage, relay, changed, verification);
    }

    /**
     * Returns a copy of the settings with other schedules of verification.
     *
     * @param changed the schedules
     * @return the settings
     */
    public ReplicaSettings withVerification(Verification changed) {
        return new ReplicaSettings(calls, outage, relay, watching, changed);
    }

    /**
     * Returns settings under which no update is delayed beyond a bound. If all watchers become
     * unresponsive at once, an update is delayed by one request and one call; if that is too long,
     * each instance watches the store by itself.
     *
     * @param bound the shortest time within which a change must be in force
     * @return the settings, without shared watching if necessary
     */
    public ReplicaSettings within(Duration bound) {
        Duration latest = watching.hold().plus(watching.margin()).plus(calls.callTimeout());
        return latest.compareTo(bound) > 0 ? withWatchersInZone(0) : this;
    }

    /**
     * Settings of calls to the store.
     *
     * @param watchWait how long the store may hold a watch
     * @param callTimeout the timeout of a call that is not held
     * @param listTimeout the timeout of a list with all its pages
     * @param firstRetry the upper bound of the first delay after a failure
     * @param lastRetry the maximum upper bound of such delays
     * @param settle how long to wait after changes before the next watch
     * @param serverSettle the same for backend servers
     * @param serverSettleLimit the maximum of that wait while changes arrive without a pause
     * @since 0.2
     */
    public record Calls(
            Duration watchWait,
            Duration callTimeout,
            Duration listTimeout,
            Duration firstRetry,
            Duration lastRetry,
            Duration settle,
            Duration serverSettle,
            Duration serverSettleLimit) {

        /** Checks that the times are positive and in order. */
        public Calls {
            Assert.positive(watchWait.toMillis(), "The wait of a watch");
            Assert.positive(callTimeout.toMillis(), "The timeout of a call");
            Assert.positive(listTimeout.toMillis(), "The timeout of a list");
            Assert.positive(firstRetry.toMillis(), "The first delay of a retry");
            Assert.isTrue(
                    lastRetry.compareTo(firstRetry) >= 0,
                    "The last delay of a retry must not be below the first.");
            Assert.notNegative(settle.toMillis(), "A wait after changes");
            Assert.isTrue(
                    serverSettleLimit.compareTo(serverSettle) >= 0,
                    "The longest wait after changes of servers must not be below the shortest.");
        }
    }

    /**
     * Settings for outages of the store.
     *
     * @param lostAfter how long the store must have failed to be considered lost
     * @param expiryAfter the minimum duration of an outage during which entries may have expired
     * @param confirmWithin how long after the store's recovery such entries may be written again
     * @param checkEvery how often an unresponsive store is checked, by a cheap probe and by peers
     * @param acceptRestoredAfter how long after a restore of the store from an older copy an entry
     *     that had been deleted is accepted again, longer than entries of unresponsive servers last
     * @param tombstoneKept how long deletions are kept for peers
     * @since 0.2
     */
    public record Outage(
            Duration lostAfter,
            Duration expiryAfter,
            Duration confirmWithin,
            Duration checkEvery,
            Duration acceptRestoredAfter,
            Duration tombstoneKept) {

        /** Checks that the times are positive. */
        public Outage {
            Assert.positive(
                    lostAfter.toMillis(), "The time after which a store is considered lost");
            Assert.positive(expiryAfter.toMillis(), "The time after which entries expire");
            Assert.positive(confirmWithin.toMillis(), "The time for entries to be written again");
            Assert.positive(checkEvery.toMillis(), "The time between checks");
            Assert.positive(
                    acceptRestoredAfter.toMillis(), "The time until deleted entries are accepted");
            Assert.positive(tombstoneKept.toMillis(), "The time for which deletions are kept");
        }
    }

    /**
     * Settings of requests to peers while the store is lost.
     *
     * @param checkEvery how often the revisions of peers are checked
     * @param pollEvery how often a peer is queried although none reports a newer revision
     * @param timeout the timeout of a request to a peer
     * @param avoidFor how long a peer that failed is not queried
     * @since 0.2
     */
    public record Relay(
            Duration checkEvery, Duration pollEvery, Duration timeout, Duration avoidFor) {

        /** Checks that the times are positive. */
        public Relay {
            Assert.positive(checkEvery.toMillis(), "The time between checks of peers");
            Assert.positive(pollEvery.toMillis(), "The time between requests to peers");
            Assert.positive(timeout.toMillis(), "The timeout of a peer");
            Assert.positive(avoidFor.toMillis(), "The time to avoid a peer");
        }
    }

    /**
     * Settings of the shared watching of the store by the instances of an availability zone.
     *
     * @param watchersInZone the number of ready instances of a zone that watch the store for the
     *     others; 0 if all instances watch it
     * @param hold how long a watcher may hold a request while there is no change
     * @param margin how much later its answer may arrive before the connection is considered
     *     unresponsive
     * @param checkEvery how often the instances of the zone are checked
     * @param avoidFor how long a watcher that failed is not queried
     * @param ownWatchFor the minimum time for which an instance watches by itself once its watchers
     *     have failed
     * @since 0.2
     */
    public record Watching(
            int watchersInZone,
            Duration hold,
            Duration margin,
            Duration checkEvery,
            Duration avoidFor,
            Duration ownWatchFor) {

        /** Checks that the count is not negative and the times are positive. */
        public Watching {
            Assert.notNegative(watchersInZone, "A number of watchers");
            Assert.positive(hold.toMillis(), "The time for which a request is held");
            Assert.positive(margin.toMillis(), "The margin of a held request");
            Assert.positive(checkEvery.toMillis(), "The time between checks of a zone");
            Assert.positive(avoidFor.toMillis(), "The time to avoid a watcher");
            Assert.positive(ownWatchFor.toMillis(), "The time of watching by itself");
        }
    }

    /**
     * Schedules by which the instances verify that their copies miss no change.
     *
     * @param routing the schedule of the routing configuration
     * @param servers the schedule of backend servers
     * @param evacuations the schedule of evacuations
     * @since 0.3
     */
    public record Verification(
            VerificationSchedule routing,
            VerificationSchedule servers,
            VerificationSchedule evacuations) {

        /** Checks that no component is {@code null}. */
        public Verification {
            Assert.notNull(routing, "The schedule of routing");
            Assert.notNull(servers, "The schedule of servers");
            Assert.notNull(evacuations, "The schedule of evacuations");
        }

        /**
         * Returns the schedules under which missed changes are in force within given bounds.
         *
         * @param routing the bound of a routing configuration
         * @param leaving the bound of a leaving backend server
         * @param evacuation the bound of an evacuation
         * @return the schedules
         */
        public static Verification within(Duration routing, Duration leaving, Duration evacuation) {
            return new Verification(
                    VerificationSchedule.within(routing),
                    VerificationSchedule.within(leaving),
                    VerificationSchedule.within(evacuation));
        }

        /** Returns the schedule of a category. */
        VerificationSchedule schedule(Category category) {
            return switch (category) {
                case ROUTING -> routing;
                case EVACUATIONS -> evacuations;
                case BACKEND_SERVERS, INSTANCES -> servers;
            };
        }
    }
}
