package io.masticpond.core.spending;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What instances were allotted of a shift's cap, as the one object at the platform says.
 *
 * <p>Immutable. Each change makes the next revision. The sum of allotments never grows above the
 * cap; it may be above a cap that was lowered later. The object is bounded: beyond {@link
 * #MAXIMUM_HOLDINGS} the holding that changed longest ago is added to one total, whether or not its
 * holder lives, because the sum is all that the cap needs.
 *
 * @param key the service and shift
 * @param capMicros the cap in millionths of the operators' unit of money
 * @param capVersion the configuration that the cap came from
 * @param revision the number of changes made
 * @param compactedMicros the sum of the holdings that are no longer listed
 * @param holdings the holdings, the one that changed longest ago first
 * @since 0.1
 */
public record SpendingLedger(
        LedgerKey key,
        long capMicros,
        ConfigurationVersion capVersion,
        long revision,
        long compactedMicros,
        List<Holding> holdings) {

    /** How many holdings are listed; a change is still recognised after as many others less one. */
    public static final int MAXIMUM_HOLDINGS = 64;

    /**
     * Checks that the parts agree.
     *
     * @throws IllegalArgumentException if they do not, as in a corrupted object
     */
    public SpendingLedger {
        Assert.notNull(key, "The key of a ledger");
        Assert.notNegative(capMicros, "A spending cap");
        Assert.notNull(capVersion, "A configuration version");
        Assert.notNegative(revision, "The revision of a ledger");
        Assert.notNegative(compactedMicros, "A sum of compacted holdings");
        holdings = List.copyOf(Assert.notNull(holdings, "The holdings of a ledger"));
        checkHoldings(holdings, revision);
    }

    /**
     * Makes the ledger of a shift of which nothing is allotted.
     *
     * @param key the service and shift
     * @param cap the cap
     * @return revision 0, which is not at the platform yet
     */
    public static SpendingLedger empty(LedgerKey key, SpendingCap cap) {
        return new SpendingLedger(key, cap.micros(), cap.version(), 0, 0, List.of());
    }

    /**
     * Sums what is allotted.
     *
     * @return the sum in millionths
     */
    public long allottedMicros() {
        long sum = compactedMicros;
        for (Holding holding : holdings) {
            sum = Math.addExact(sum, holding.allottedMicros());
        }
        return sum;
    }

    /**
     * Tells what may still be allotted.
     *
     * @return the cap less the sum of allotments, not negative
     */
    public long remainingMicros() {
        return Math.max(0, capMicros - allottedMicros());
    }

    /**
     * Finds what an incarnation holds.
     *
     * @param holder the incarnation
     * @return its holding, or empty if it holds nothing or its holding was compacted
     */
    public Optional<Holding> holding(Incarnation holder) {
        return holdings.stream().filter(each -> each.holder().equals(holder)).findFirst();
    }

    /**
     * Takes a cap if it comes from a later configuration than the one in the ledger.
     *
     * @param cap the cap
     * @return a ledger with the cap of the later configuration
     */
    public SpendingLedger withCap(SpendingCap cap) {
        if (!cap.version().isAfter(capVersion)) {
            return this;
        }
        return new SpendingLedger(
                key, cap.micros(), cap.version(), revision, compactedMicros, holdings);
    }

    /**
     * Allots part of the remainder to an incarnation.
     *
     * @param holder the incarnation
     * @param sequence the number of the change, above all earlier ones of the holder
     * @param micros how much, positive
     * @return the next revision
     * @throws IllegalArgumentException if the sum would pass the cap
     */
    public SpendingLedger allot(Incarnation holder, long sequence, long micros) {
        Assert.positive(micros, "An allotment");
        Assert.isTrue(
                micros <= remainingMicros(),
                "An allotment must be at most the remainder of %d, but was %d.",
                remainingMicros(),
                micros);
        long held = holding(holder).map(Holding::allottedMicros).orElse(0L);
        return next(holder, sequence, held + micros, compactedMicros);
    }

    /**
     * Takes back part of what an incarnation holds, at the holder's own wish only.
     *
     * @param holder the incarnation that returns it
     * @param sequence the number of the change, above all earlier ones of the holder
     * @param micros how much, positive
     * @return the next revision
     * @throws IllegalArgumentException if more is returned than was allotted
     */
    public SpendingLedger returnAllotment(Incarnation holder, long sequence, long micros) {
        Assert.positive(micros, "A returned allotment");
        long held = holding(holder).map(Holding::allottedMicros).orElse(0L);
        long fromHolding = Math.min(held, micros);
        long fromCompacted = micros - fromHolding;
        Assert.isTrue(
                fromCompacted <= compactedMicros,
                "A returned allotment must have been allotted, but %d was not.",
                fromCompacted - compactedMicros);
        return next(holder, sequence, held - fromHolding, compactedMicros - fromCompacted);
    }

    /**
     * Puts the cap of this value on record, without taking or returning anything.
     *
     * @param holder the incarnation that makes the change
     * @param sequence the number of the change, above all earlier ones of the holder
     * @return the next revision
     */
    public SpendingLedger restate(Incarnation holder, long sequence) {
        long held = holding(holder).map(Holding::allottedMicros).orElse(0L);
        return next(holder, sequence, held, compactedMicros);
    }

    /**
     * Joins what this ledger knows with an older or other state of it, which the platform came back
     * to: each holding as its holder changed it last, so that the sum is never lower than what was
     * allotted. A holding that one of them lists and the other has compacted counts twice.
     *
     * @param found the ledger as the platform holds it
     * @return a ledger above both revisions
     */
    SpendingLedger joinedWith(SpendingLedger found) {
        Map<Incarnation, Holding> newest = new LinkedHashMap<>();
        Stream.concat(holdings.stream(), found.holdings.stream())
                .sorted(Comparator.comparingLong(Holding::revision))
                .forEach(each -> newest.merge(each.holder(), each, SpendingLedger::later));
        long last = Math.max(revision, found.revision);
        long compacted = Math.max(compactedMicros, found.compactedMicros);
        List<Holding> joined = new ArrayList<>();
        for (Holding each : newest.values()) {
            last++;
            joined.add(new Holding(each.holder(), each.allottedMicros(), each.sequence(), last));
        }
        while (joined.size() > MAXIMUM_HOLDINGS) {
            compacted = Math.addExact(compacted, joined.remove(0).allottedMicros());
        }
        boolean isLater = found.capVersion.isAfter(capVersion);
        return new SpendingLedger(
                key,
                isLater ? found.capMicros : capMicros,
                isLater ? found.capVersion : capVersion,
                last,
                compacted,
                joined);
    }

    private static Holding later(Holding one, Holding other) {
        return one.sequence() >= other.sequence() ? one : other;
    }

    /** Tells whether nothing is missing here that another state of the ledger lists. */
    boolean holdsAllOf(SpendingLedger other) {
        return compactedMicros >= other.compactedMicros
                && other.holdings.stream()
                        .allMatch(
                                each ->
                                        holding(each.holder())
                                                .filter(own -> own.sequence() >= each.sequence())
                                                .isPresent());
    }

    private SpendingLedger next(Incarnation holder, long sequence, long held, long compacted) {
        Optional<Holding> before = holding(holder);
        Assert.isTrue(
                before.map(Holding::sequence).orElse(0L) < sequence,
                "The sequence %d of %s must be above its last one.",
                sequence,
                holder);
        List<Holding> changed = new ArrayList<>(holdings);
        before.ifPresent(changed::remove);
        changed.add(new Holding(holder, held, sequence, revision + 1));
        long compactedSum = compacted;
        while (changed.size() > MAXIMUM_HOLDINGS) {
            compactedSum = Math.addExact(compactedSum, changed.remove(0).allottedMicros());
        }
        return new SpendingLedger(key, capMicros, capVersion, revision + 1, compactedSum, changed);
    }

    private static void checkHoldings(List<Holding> holdings, long revision) {
        long last = 0;
        for (Holding holding : holdings) {
            Assert.isTrue(
                    holding.revision() > last && holding.revision() <= revision,
                    "The holding of %s is out of order at revision %d.",
                    holding.holder(),
                    holding.revision());
            last = holding.revision();
        }
        long holders = holdings.stream().map(Holding::holder).distinct().count();
        Assert.isTrue(holders == holdings.size(), "An incarnation must be listed only once.");
    }
}
