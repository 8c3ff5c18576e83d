package io.masticpond.daemon.operation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.operation.CallerKey;
import io.masticpond.core.operation.ClaimContents;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.StoredObject;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Factory for the keys of claim and outcome objects, and codec of claims as JSON. */
final class OperationObjects {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final TypeReference<Map<String, String>> CLAIMS = new TypeReference<>() {};

    private OperationObjects() {}

    static ObjectKey claims(int bucket) {
        return new ObjectKey(ObjectKind.CLAIM, "bucket-" + bucket);
    }

    static ObjectKey outcomes(Incarnation home, long segment) {
        return new ObjectKey(
                ObjectKind.OUTCOME, home.instance() + "." + home.number() + "." + segment);
    }

    static byte[] toBytes(ClaimContents contents) {
        Map<String, String> textsByKey = new TreeMap<>();
        contents.claims().forEach((key, value) -> textsByKey.put(key.text(), value.toString()));
        try {
            return MAPPER.writeValueAsBytes(textsByKey);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Claims cannot be written as JSON.", e);
        }
    }

    /**
     * Reads the claims of a bucket.
     *
     * @throws IllegalArgumentException if the object is not in the format that instances write
     */
    static ClaimContents toClaims(StoredObject object) {
        Map<CallerKey, OperationKey> claims = new HashMap<>();
        try {
            MAPPER.readValue(object.value(), CLAIMS)
                    .forEach((key, value) -> claims.put(new CallerKey(key), operationKey(value)));
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "The claims " + object.key() + " are not valid JSON.", e);
        }
        return new ClaimContents(object.version(), claims);
    }

    private static OperationKey operationKey(String text) {
        return OperationKey.parse(text)
                .orElseThrow(
                        () -> new IllegalArgumentException("The key '" + text + "' is malformed."));
    }
}
