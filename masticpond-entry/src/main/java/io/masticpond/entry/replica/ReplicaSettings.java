package io.masticpond.entry.replica;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * The times of a replica.
 *
 * @param calls the times of calls to the store
 * @param outage the times of outages of the store
 * @param relay the times of asking peers
 * @param watching how the instances of an availability zone share watching the store
 * @since 0.2
 */
public record ReplicaSettings(Calls calls, Outage outage, Relay relay, Watching watching) {

    /** Times that suit a store which answers within some milliseconds. */
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
                            Duration.ofSeconds(3)));

    /** Checks that the parts are given. */
    public ReplicaSettings {
        Assert.notNull(calls, "The times of calls");
        Assert.notNull(outage, "The times of outages");
        Assert.notNull(relay, "The times of the relay");
        Assert.notNull(watching, "The sharing of watches");
    }

    /**
     * Gives the same settings with another number of watchers.
     *
     * @param count how many ready instances of an availability zone watch the store
     * @return the settings
     */
    public ReplicaSettings withWatchersInZone(int count) {
        Watching changed =
                new Watching(
                        count,
                        watching.hold(),
                        watching.margin(),
                        watching.lookEvery(),
                        watching.avoidFor(),
                        watching.ownWatchFor());
        return new ReplicaSettings(calls, outage, relay, changed);
    }

    /**
     * Gives settings under which news is never later than a bound. Watchers that all fall silent at
     * once delay it by one ask and one call, so where that is too long, each instance watches.
     *
     * @param bound the shortest time in which a change must be in force
     * @return the settings, without watchers for others if need be
     */
    public ReplicaSettings within(Duration bound) {
        Duration latest = watching.hold().plus(watching.margin()).plus(calls.callTimeout());
        return latest.compareTo(bound) > 0 ? withWatchersInZone(0) : this;
    }

    /**
     * The times of calls to the store.
     *
     * @param watchWait how long the store may hold a watch
     * @param callTimeout how long a call that is not held may take
     * @param listTimeout how long a list may take, page after page
     * @param firstRetry the bound of the first delay after a failure
     * @param lastRetry the greatest bound of such delays
     * @param settle how long to wait after changes before the next watch
     * @param serverSettle the same for backend servers
     * @param serverSettleLimit how long that wait may grow while changes come without a pause
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
     * The times of outages of the store.
     *
     * @param lostAfter how long the store must have failed to count as lost
     * @param expiryAfter how long an outage must last for entries to have expired meanwhile
     * @param confirmWithin how long after the store's return such entries may come back
     * @param checkEvery how often a silent store is checked, by a cheap probe and by peers
     * @param acceptRestoredAfter how long after the store came back from an older copy an entry
     *     counts again that had been deleted, longer than entries of silent servers last
     * @param tombstoneKept how long deletions are remembered for peers
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
            Assert.positive(lostAfter.toMillis(), "The time after which a store counts as lost");
            Assert.positive(expiryAfter.toMillis(), "The time after which entries expire");
            Assert.positive(confirmWithin.toMillis(), "The time for entries to come back");
            Assert.positive(checkEvery.toMillis(), "The time between checks");
            Assert.positive(acceptRestoredAfter.toMillis(), "The time until deleted entries count");
            Assert.positive(tombstoneKept.toMillis(), "The time that deletions are remembered");
        }
    }

    /**
     * The times of asking peers while the store is lost.
     *
     * @param lookEvery how often the revisions of peers are looked at
     * @param pollEvery how often a peer is asked though none reports more than is known
     * @param timeout how long a peer may take
     * @param avoidFor how long a peer that failed is passed over
     * @since 0.2
     */
    public record Relay(
            Duration lookEvery, Duration pollEvery, Duration timeout, Duration avoidFor) {

        /** Checks that the times are positive. */
        public Relay {
            Assert.positive(lookEvery.toMillis(), "The time between looks at peers");
            Assert.positive(pollEvery.toMillis(), "The time between asks of peers");
            Assert.positive(timeout.toMillis(), "The timeout of a peer");
            Assert.positive(avoidFor.toMillis(), "The time to pass over a peer");
        }
    }

    /**
     * How the instances of an availability zone share watching the store.
     *
     * @param watchersInZone how many ready instances of a zone watch it while the others hear from
     *     them; 0 if all watch it
     * @param hold how long a watcher may hold an ask when there is nothing new
     * @param margin how much later its answer may come before the connection counts as silent
     * @param lookEvery how often the instances of the zone are looked at
     * @param avoidFor how long a watcher that failed is not asked again
     * @param ownWatchFor how long an instance watches by itself at least once its watchers have
     *     failed
     * @since 0.2
     */
    public record Watching(
            int watchersInZone,
            Duration hold,
            Duration margin,
            Duration lookEvery,
            Duration avoidFor,
            Duration ownWatchFor) {

        /** Checks that the count is not negative and the times are positive. */
        public Watching {
            Assert.notNegative(watchersInZone, "A number of watchers");
            Assert.positive(hold.toMillis(), "The time that an ask is held");
            Assert.positive(margin.toMillis(), "The margin of a held ask");
            Assert.positive(lookEvery.toMillis(), "The time between looks at a zone");
            Assert.positive(avoidFor.toMillis(), "The time to pass over a watcher");
            Assert.positive(ownWatchFor.toMillis(), "The time of an own watch");
        }
    }
}
