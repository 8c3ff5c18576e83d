package io.masticpond.entry.spending;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.SpendingCap;
import io.masticpond.core.spending.SpendingLedger;
import io.masticpond.entry.json.JsonTree;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

/** Tests that an altered ledger is rejected and that the order of its fields does not matter. */
class LedgerJsonTest {

    private static final LedgerKey KEY =
            new LedgerKey(new ServiceId("orders"), new ShiftId("2026-12-02-morning"));
    private static final SpendingLedger LEDGER =
            SpendingLedger.empty(KEY, new SpendingCap(7_000, new ConfigurationVersion(3)))
                    .allot(Incarnation.parse("one@1700000000000"), 1, 4_500)
                    .allot(Incarnation.parse("two@1700000000001"), 9, 1_250);

    private final ObjectNode mTree = (ObjectNode) LedgerJson.write(LEDGER);

    @Example
    void readsWrittenLedgerInAnyFieldOrder() throws IOException {
        JsonNode format = mTree.remove("format");
        mTree.set("format", format);
        String text = new String(JsonTree.write(mTree), StandardCharsets.UTF_8);
        assertThat(LedgerJson.read(KEY, JsonTree.readCommented(text)).get()).isEqualTo(LEDGER);
    }

    @Example
    void rejectsAlteredMissingAndAdditionalFields() {
        assertThat(fault(mTree.deepCopy().put("allottedMicros", 5))).contains("checksum is wrong");
        assertThat(fault(mTree.deepCopy().put("capMicros", "7000"))).contains("'capMicros'");
        assertThat(fault(mTree.deepCopy().put("capMicros", 7000.5))).contains("'capMicros'");
        assertThat(fault(mTree.deepCopy().put("more", 1))).contains("10 fields, but has 11");
        assertThat(fault(mTree.deepCopy().put("holdings", 1))).contains("'holdings'");
        assertThat(fault(mTree.deepCopy().put("service", 1))).contains("'service'");
        assertThat(fault(mTree.deepCopy().put("format", 2))).contains("not of format 1");
        assertThat(fault(mTree.deepCopy().without("revision"))).contains("has 9");
        ObjectNode holding = mTree.deepCopy();
        ((ObjectNode) holding.path("holdings").get(0)).put("allottedMicros", 1);
        assertThat(fault(holding)).contains("checksum is wrong");
    }

    /** Guards against a format beyond 32 bits that is cut to the supported one. */
    @Example
    void rejectsFormatBeyond32Bits() {
        long format = (1L << 32) + 1;
        assertThat(LedgerJson.read(KEY, mTree.deepCopy().put("format", format)).isLeft()).isTrue();
        assertThat(fault(mTree.deepCopy().put("format", format))).contains("'format'");
    }

    @Example
    void rejectsLedgerOfAnotherShift() {
        LedgerKey other = new LedgerKey(KEY.service(), new ShiftId("2026-12-03-morning"));
        assertThat(LedgerJson.read(other, mTree).getLeft().message()).contains("2026-12-02");
    }

    private static String fault(JsonNode tree) {
        return LedgerJson.read(KEY, tree).getLeft().message();
    }
}
