package io.masticpond.core.spending;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

/**
 * Stored form of a ledger, independent of the JSON library that reads and writes it. The sum of
 * allotments is included for people who read the object; the checksum over all other fields detects
 * an altered document.
 *
 * @param format the number of this format
 * @param service the service
 * @param shift the shift
 * @param capMicros the cap
 * @param configurationVersion the version of the configuration that specifies the cap
 * @param revision the number of changes
 * @param allottedMicros the sum of all allotments
 * @param compactedMicros the sum of the holdings that are not listed
 * @param holdings the holdings, the one that changed longest ago first
 * @param checksum the CRC-32C (RFC 3720) of this document as JSON without spaces, its fields in
 *     this order, with a checksum of 0
 * @since 0.3
 */
public record LedgerDocument(
        int format,
        String service,
        String shift,
        long capMicros,
        long configurationVersion,
        long revision,
        long allottedMicros,
        long compactedMicros,
        List<HoldingDocument> holdings,
        long checksum) {

    private static final int FORMAT = 1;

    /** Copies the holdings. */
    public LedgerDocument {
        holdings = List.copyOf(Assert.notNull(holdings, "The holdings of a ledger"));
    }

    /**
     * Creates the document of a ledger.
     *
     * @param ledger the ledger
     * @return the document with its checksum
     */
    public static LedgerDocument of(SpendingLedger ledger) {
        LedgerDocument document =
                new LedgerDocument(
                        FORMAT,
                        ledger.key().service().value(),
                        ledger.key().shift().value(),
                        ledger.capMicros(),
                        ledger.capVersion().number(),
                        ledger.revision(),
                        ledger.allottedMicros(),
                        ledger.compactedMicros(),
                        ledger.holdings().stream().map(HoldingDocument::of).toList(),
                        0);
        return document.withChecksum(document.sum());
    }

    /**
     * Returns the ledger of this document. Another format, another ledger, a wrong checksum and
     * inconsistent sums are faults.
     *
     * @param key the ledger that is expected
     * @return the ledger, or the fault of the document
     */
    public Either<LedgerFault, SpendingLedger> read(LedgerKey key) {
        if (format != FORMAT) {
            return fault(key, "It is not of format " + FORMAT + ".");
        }
        if (checksum != sum()) {
            return fault(key, "Its checksum is wrong.");
        }
        if (!key.service().value().equals(service) || !key.shift().value().equals(shift)) {
            return fault(key, "It is of " + service + " in " + shift + ".");
        }
        try {
            SpendingLedger ledger = ledger(key);
            return ledger.allottedMicros() == allottedMicros
                    ? Either.right(ledger)
                    : fault(key, "Its allotments do not add up.");
        } catch (IllegalArgumentException | ArithmeticException e) {
            return fault(key, e.getMessage());
        }
    }

    /**
     * Creates the fault of an object that cannot be used as a ledger.
     *
     * @param key the ledger that is expected
     * @param reason one sentence
     * @return the fault
     */
    public static Either<LedgerFault, SpendingLedger> fault(LedgerKey key, String reason) {
        return Either.left(new LedgerFault("The ledger " + key + " cannot be used: " + reason));
    }

    private SpendingLedger ledger(LedgerKey key) {
        return new SpendingLedger(
                key,
                capMicros,
                new ConfigurationVersion(configurationVersion),
                revision,
                compactedMicros,
                holdings.stream().map(HoldingDocument::holding).toList());
    }

    private LedgerDocument withChecksum(long value) {
        return new LedgerDocument(
                format,
                service,
                shift,
                capMicros,
                configurationVersion,
                revision,
                allottedMicros,
                compactedMicros,
                holdings,
                value);
    }

    /**
     * Computes the checksum. The names in a valid ledger contain no characters that JSON would
     * escape.
     */
    private long sum() {
        String text =
                String.format(
                        "{\"format\":%d,\"service\":\"%s\",\"shift\":\"%s\",\"capMicros\":%d,"
                                + "\"configurationVersion\":%d,\"revision\":%d,"
                                + "\"allottedMicros\":%d,\"compactedMicros\":%d,"
                                + "\"holdings\":[%s],\"checksum\":0}",
                        format,
                        service,
                        shift,
                        capMicros,
                        configurationVersion,
                        revision,
                        allottedMicros,
                        compactedMicros,
                        holdings.stream()
                                .map(HoldingDocument::text)
                                .collect(Collectors.joining(",")));
        CRC32C sum = new CRC32C();
        sum.update(text.getBytes(StandardCharsets.UTF_8));
        return sum.getValue();
    }

    /**
     * Stored form of a holding.
     *
     * @param holder the incarnation as "instance@number"
     * @param allottedMicros the amount that it holds or has spent
     * @param sequence the number of its last change
     * @param revision the revision that the change produced
     * @since 0.3
     */
    public record HoldingDocument(
            String holder, long allottedMicros, long sequence, long revision) {

        static HoldingDocument of(Holding holding) {
            return new HoldingDocument(
                    holding.holder().toString(),
                    holding.allottedMicros(),
                    holding.sequence(),
                    holding.revision());
        }

        Holding holding() {
            return new Holding(Incarnation.parse(holder), allottedMicros, sequence, revision);
        }

        String text() {
            return String.format(
                    "{\"holder\":\"%s\",\"allottedMicros\":%d,\"sequence\":%d,\"revision\":%d}",
                    holder, allottedMicros, sequence, revision);
        }
    }
}
