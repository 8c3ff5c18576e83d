package io.masticpond.daemon.spending;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.masticpond.core.spending.LedgerDocument;
import io.masticpond.core.spending.LedgerFault;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.SpendingLedger;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * Codec for ledgers as JSON documents. Decoding is strict: a field that is missing, unknown,
 * duplicated or of the wrong type, a document of another ledger, and sums or a checksum that do not
 * match are faults. Thread-safe.
 *
 * @since 0.1
 */
public final class LedgerCodec {

    private static final JsonMapper sMapper =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    /**
     * Encodes a ledger.
     *
     * @param ledger the ledger
     * @return the JSON document
     */
    public byte[] encode(SpendingLedger ledger) {
        try {
            return sMapper.writeValueAsBytes(LedgerDocument.of(ledger));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A ledger could not be written.", e);
        }
    }

    /**
     * Decodes a ledger.
     *
     * @param key the key of the expected ledger
     * @param value the JSON document
     * @return the ledger, or the fault in the document
     */
    public Either<LedgerFault, SpendingLedger> decode(LedgerKey key, byte[] value) {
        try {
            LedgerDocument document = sMapper.readValue(value, LedgerDocument.class);
            return document == null
                    ? LedgerDocument.fault(key, "It is empty.")
                    : document.read(key);
        } catch (JsonProcessingException e) {
            return LedgerDocument.fault(key, e.getOriginalMessage());
        } catch (IOException e) {
            return LedgerDocument.fault(key, e.getMessage());
        }
    }
}
