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
 * Ledger of the amounts allotted to instances under a shift's cap, stored as one object at the
 * platform.
 *
 * <p>Immutable. Each change produces the next revision. The sum of allotments never grows above the
 * cap; it may be above a cap that was lowered later. The object is bounded: beyond {@link
 * #MAXIMUM_HOLDINGS} the holding that changed longest ago is added to one total, whether or not its
 * holder is running, because only the sum is needed to enforce the cap.
 *
 * @param key the service and shift
 * @param capMicros the cap in millionths of the operators' currency unit
 * @param capVersion the version of the configuration that specifies the cap
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

    /**
     * Maximum number of listed holdings. A change can still be recognized after the changes of this
     * many, less one, other holders.
     */
    public static final int MAXIMUM_HOLDINGS = 64;

    /**
     * Validates that the components are consistent.
     *
     * @throws IllegalArgumentException if they are not, as in a corrupted object
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
     * Creates the ledger of a shift without allotments.
     *
     * @param key the service and shift
     * @param cap the cap
     * @return revision 0, which is not at the platform yet
     */
    public static SpendingLedger empty(LedgerKey key, SpendingCap cap) {
        return new SpendingLedger(key, cap.micros(), cap.version(), 0, 0, List.of());
    }

    /**
     * Returns the sum of all allotments.
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
     * Returns the amount that may still be allotted.
     *
     * @return the cap less the sum of allotments, not negative
     */
    public long remainingMicros() {
        return Math.max(0, capMicros - allottedMicros());
    }

    /**
     * Returns the holding of an incarnation.
     *
     * @param holder the incarnation
     * @return its holding, or empty if it holds nothing or its holding was compacted
     */
    public Optional<Holding> holding(Incarnation holder) {
        return holdings.stream().filter(each -> each.holder().equals(holder)).findFirst();
    }

    /**
     * Returns this ledger with a cap, if that cap comes from a later configuration than the one in
     * the ledger.
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
        long heldMicros = holding(holder).map(Holding::allottedMicros).orElse(0L);
        return nextRevision(holder, sequence, heldMicros + micros, compactedMicros);
    }

    /**
     * Takes back part of an incarnation's holding; only the holder itself may request this.
     *
     * @param holder the incarnation that returns it
     * @param sequence the number of the change, above all earlier ones of the holder
     * @param micros how much, positive
     * @return the next revision
     * @throws IllegalArgumentException if more is returned than was allotted
     */
    public SpendingLedger returnAllotment(Incarnation holder, long sequence, long micros) {
        Assert.positive(micros, "A returned allotment");
        long heldMicros = holding(holder).map(Holding::allottedMicros).orElse(0L);
        long fromHolding = Math.min(heldMicros, micros);
        long fromCompacted = micros - fromHolding;
        Assert.isTrue(
                fromCompacted <= compactedMicros,
                "A returned allotment must have been allotted, but %d was not.",
                fromCompacted - compactedMicros);
        return nextRevision(
                holder, sequence, heldMicros - fromHolding, compactedMicros - fromCompacted);
    }

    /**
     * Records the cap of this ledger without allotting or returning anything.
     *
     * @param holder the incarnation that makes the change
     * @param sequence the number of the change, above all earlier ones of the holder
     * @return the next revision
     */
    public SpendingLedger recordCap(Incarnation holder, long sequence) {
        long heldMicros = holding(holder).map(Holding::allottedMicros).orElse(0L);
        return nextRevision(holder, sequence, heldMicros, compactedMicros);
    }

    /**
     * Merges this ledger with an older or diverged state of it that the platform was restored to.
     * Each holding is taken in its holder's latest state, so that the sum is never lower than what
     * was allotted. A holding that one of them lists and the other has compacted counts twice.
     *
     * @param found the ledger as the platform holds it
     * @return a ledger with a revision above both
     */
    SpendingLedger mergedWith(SpendingLedger found) {
        Map<Incarnation, Holding> latest = new LinkedHashMap<>();
        Stream.concat(holdings.stream(), found.holdings.stream())
                .sorted(Comparator.comparingLong(Holding::revision))
                .forEach(each -> latest.merge(each.holder(), each, SpendingLedger::laterOf));
        long lastRevision = Math.max(revision, found.revision);
        long compactedSum = Math.max(compactedMicros, found.compactedMicros);
        List<Holding> merged = new ArrayList<>();
        for (Holding each : latest.values()) {
            lastRevision++;
            merged.add(
                    new Holding(
                            each.holder(), each.allottedMicros(), each.sequence(), lastRevision));
        }
        while (merged.size() > MAXIMUM_HOLDINGS) {
            compactedSum = Math.addExact(compactedSum, merged.remove(0).allottedMicros());
        }
        boolean isLater = found.capVersion.isAfter(capVersion);
        return new SpendingLedger(
                key,
                isLater ? found.capMicros : capMicros,
                isLater ? found.capVersion : capVersion,
                lastRevision,
                compactedSum,
                merged);
    }

    private static Holding laterOf(Holding one, Holding other) {
        return one.sequence() >= other.sequence() ? one : other;
    }

    /**
     * Determines whether this ledger contains every change that another state of the ledger lists.
     */
    boolean containsAllOf(SpendingLedger other) {
        return compactedMicros >= other.compactedMicros
                && other.holdings.stream()
                        .allMatch(
                                each ->
                                        holding(each.holder())
                                                .filter(own -> own.sequence() >= each.sequence())
                                                .isPresent());
    }

    private SpendingLedger nextRevision(
            Incarnation holder, long sequence, long heldMicros, long compactedSum) {
        Optional<Holding> before = holding(holder);
        Assert.isTrue(
                before.map(Holding::sequence).orElse(0L) < sequence,
                "The sequence %d of %s must be above its last one.",
                sequence,
                holder);
        List<Holding> changedHoldings = new ArrayList<>(holdings);
        before.ifPresent(changedHoldings::remove);
        changedHoldings.add(new Holding(holder, heldMicros, sequence, revision + 1));
        long compactedTotal = compactedSum;
        while (changedHoldings.size() > MAXIMUM_HOLDINGS) {
            compactedTotal =
                    Math.addExact(compactedTotal, changedHoldings.remove(0).allottedMicros());
        }
        return new SpendingLedger(
                key, capMicros, capVersion, revision + 1, compactedTotal, changedHoldings);
    }

    private static void checkHoldings(List<Holding> holdings, long revision) {
        long lastRevision = 0;
        for (Holding holding : holdings) {
            Assert.isTrue(
                    holding.revision() > lastRevision && holding.revision() <= revision,
                    "The holding of %s is out of order at revision %d.",
                    holding.holder(),
                    holding.revision());
            lastRevision = holding.revision();
        }
        long holders = holdings.stream().map(Holding::holder).distinct().count();
        Assert.isTrue(holders == holdings.size(), "An incarnation must be listed only once.");
    }
}
