package io.masticpond.entry.spending;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.spending.LedgerDocument;
import io.masticpond.core.spending.LedgerDocument.HoldingDocument;
import io.masticpond.core.spending.LedgerFault;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.SpendingLedger;
import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;

/**
 * Codec for {@link SpendingLedger} objects as JSON trees. Reading is strict, a missing or
 * additional field is an error, and uses no reflection.
 */
final class LedgerJson {

    private static final int FIELD_COUNT = 10;
    private static final int HOLDING_FIELD_COUNT = 4;

    private LedgerJson() {}

    static JsonNode write(SpendingLedger ledger) {
        LedgerDocument document = LedgerDocument.of(ledger);
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        tree.put("format", document.format())
                .put("service", document.service())
                .put("shift", document.shift())
                .put("capMicros", document.capMicros())
                .put("configurationVersion", document.configurationVersion())
                .put("revision", document.revision())
                .put("allottedMicros", document.allottedMicros())
                .put("compactedMicros", document.compactedMicros());
        ArrayNode holdings = tree.putArray("holdings");
        for (HoldingDocument holding : document.holdings()) {
            holdings.addObject()
                    .put("holder", holding.holder())
                    .put("allottedMicros", holding.allottedMicros())
                    .put("sequence", holding.sequence())
                    .put("revision", holding.revision());
        }
        return tree.put("checksum", document.checksum());
    }

    static Either<LedgerFault, SpendingLedger> read(LedgerKey key, JsonNode tree) {
        try {
            return toDocument(tree).read(key);
        } catch (IllegalArgumentException e) {
            return LedgerDocument.fault(key, e.getMessage());
        }
    }

    private static LedgerDocument toDocument(JsonNode tree) {
        checkFields(tree, FIELD_COUNT);
        List<HoldingDocument> holdings = new ArrayList<>();
        Assert.isTrue(tree.path("holdings").isArray(), "The field 'holdings' must be an array.");
        for (JsonNode holding : tree.path("holdings")) {
            checkFields(holding, HOLDING_FIELD_COUNT);
            holdings.add(
                    new HoldingDocument(
                            readText(holding, "holder"),
                            readLong(holding, "allottedMicros"),
                            readLong(holding, "sequence"),
                            readLong(holding, "revision")));
        }
        return new LedgerDocument(
                readInt(tree, "format"),
                readText(tree, "service"),
                readText(tree, "shift"),
                readLong(tree, "capMicros"),
                readLong(tree, "configurationVersion"),
                readLong(tree, "revision"),
                readLong(tree, "allottedMicros"),
                readLong(tree, "compactedMicros"),
                holdings,
                readLong(tree, "checksum"));
    }

    private static void checkFields(JsonNode tree, int count) {
        Assert.isTrue(
                tree.isObject() && tree.size() == count,
                "The object must have %d fields, but has %d.",
                count,
                tree.size());
    }

    private static int readInt(JsonNode tree, String field) {
        JsonNode value = tree.path(field);
        Assert.isTrue(
                value.isIntegralNumber() && value.canConvertToInt(),
                "The field '%s' must be a 32-bit integer.",
                field);
        return value.intValue();
    }

    private static long readLong(JsonNode tree, String field) {
        JsonNode value = tree.path(field);
        Assert.isTrue(
                value.isIntegralNumber() && value.canConvertToLong(),
                "The field '%s' must be an integer.",
                field);
        return value.longValue();
    }

    private static String readText(JsonNode tree, String field) {
        JsonNode value = tree.path(field);
        Assert.isTrue(value.isTextual(), "The field '%s' must be a string.", field);
        return value.textValue();
    }
}
