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

/** Ledgers as trees of JSON, read strictly and without reflection. */
final class LedgerJson {

    private static final int FIELDS = 10;
    private static final int HOLDING_FIELDS = 4;

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
            return document(tree).read(key);
        } catch (IllegalArgumentException e) {
            return LedgerDocument.fault(key, e.getMessage());
        }
    }

    private static LedgerDocument document(JsonNode tree) {
        checkFields(tree, FIELDS);
        List<HoldingDocument> holdings = new ArrayList<>();
        Assert.isTrue(tree.path("holdings").isArray(), "The field 'holdings' must be a list.");
        for (JsonNode holding : tree.path("holdings")) {
            checkFields(holding, HOLDING_FIELDS);
            holdings.add(
                    new HoldingDocument(
                            text(holding, "holder"),
                            whole(holding, "allottedMicros"),
                            whole(holding, "sequence"),
                            whole(holding, "revision")));
        }
        return new LedgerDocument(
                (int) whole(tree, "format"),
                text(tree, "service"),
                text(tree, "shift"),
                whole(tree, "capMicros"),
                whole(tree, "configurationVersion"),
                whole(tree, "revision"),
                whole(tree, "allottedMicros"),
                whole(tree, "compactedMicros"),
                holdings,
                whole(tree, "checksum"));
    }

    private static void checkFields(JsonNode tree, int count) {
        Assert.isTrue(
                tree.isObject() && tree.size() == count,
                "It must have %d fields, but has %d.",
                count,
                tree.size());
    }

    private static long whole(JsonNode tree, String field) {
        JsonNode value = tree.path(field);
        Assert.isTrue(
                value.isIntegralNumber() && value.canConvertToLong(),
                "The field '%s' must be a whole number.",
                field);
        return value.longValue();
    }

    private static String text(JsonNode tree, String field) {
        JsonNode value = tree.path(field);
        Assert.isTrue(value.isTextual(), "The field '%s' must be a text.", field);
        return value.textValue();
    }
}
