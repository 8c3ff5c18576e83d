package io.masticpond.daemon.spending;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.SpendingCap;
import io.masticpond.core.spending.SpendingLedger;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that corrupted ledgers are never decoded as valid ones. */
class LedgerCodecTest {

    private static final LedgerKey KEY =
            new LedgerKey(new ServiceId("plate-ledger"), new ShiftId("2026-12-02-morning"));
    private static final SpendingLedger LEDGER =
            SpendingLedger.empty(KEY, new SpendingCap(7_000, new ConfigurationVersion(3)))
                    .allot(Incarnation.parse("casa-1@1700000000000"), 1, 4_500)
                    .allot(Incarnation.parse("fes-1@1700000000001"), 9, 1_250)
                    .returnAllotment(Incarnation.parse("casa-1@1700000000000"), 2, 100);

    private final LedgerCodec mCodec = new LedgerCodec();

    @Example
    void decodesEncodedLedger() {
        assertThat(mCodec.decode(KEY, mCodec.encode(LEDGER)).get()).isEqualTo(LEDGER);
    }

    /**
     * The checksum is part of the stored format: ledgers must stay readable across product
     * versions, in both directions.
     */
    @Example
    void checksumCoversTheTextWithZeroInItsPlace() {
        String text = new String(mCodec.encode(LEDGER), StandardCharsets.UTF_8);
        CRC32C sum = new CRC32C();
        sum.update(
                text.replaceFirst("\"checksum\":\\d+", "\"checksum\":0")
                        .getBytes(StandardCharsets.UTF_8));
        assertThat(text).endsWith("\"checksum\":" + sum.getValue() + "}");
    }

    @Example
    void rejectsLedgerOfAnotherShift() {
        LedgerKey other = new LedgerKey(KEY.service(), new ShiftId("2026-12-03-morning"));
        assertThat(mCodec.decode(other, mCodec.encode(LEDGER)).getLeft().message())
                .contains("2026-12-02-morning");
    }

    @Example
    void rejectsUnknownMissingAndDuplicateFields() {
        String text = new String(mCodec.encode(LEDGER), StandardCharsets.UTF_8);
        assertThat(isFaulty(text.replace("\"format\":1", "\"format\":1,\"more\":1"))).isTrue();
        assertThat(isFaulty(text.replace("\"format\":1", "\"format\":1,\"format\":1"))).isTrue();
        assertThat(isFaulty(text.replace("\"capMicros\":7000,", ""))).isTrue();
        assertThat(isFaulty(text.replace("7000", "\"7000\""))).isTrue();
        assertThat(isFaulty(text.replace("7000", "7000.5"))).isTrue();
        assertThat(isFaulty(text + "{}")).isTrue();
        assertThat(isFaulty("")).isTrue();
        assertThat(isFaulty("null")).isTrue();
    }

    @Property(tries = 2_000, seed = "20261202")
    void documentsWithOneChangedByteAreNeverDecodedAsOtherLedgers(
            @ForAll @IntRange(max = 10_000) int place, @ForAll byte value) {
        byte[] bytes = mCodec.encode(LEDGER);
        bytes[place % bytes.length] = value;
        assertThat(mCodec.decode(KEY, bytes).getOrElse(LEDGER)).isEqualTo(LEDGER);
    }

    private boolean isFaulty(String text) {
        return mCodec.decode(KEY, text.getBytes(StandardCharsets.UTF_8)).isLeft();
    }
}
