package io.masticpond.daemon.instance;

import io.masticpond.core.support.Assert;
import java.security.GeneralSecurityException;
import java.util.Map;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Immutable set of shared keys with which instances authenticate each other.
 *
 * <p>To rotate a key, add the new key to the ring of every instance, then use it everywhere, then
 * remove the old one. This way, all instances accept every key in use at any time.
 *
 * @param inUse the id of the key for connections that this instance dials
 * @param keys all accepted keys by id, each at least 16 bytes
 * @since 0.1
 */
public record KeyRing(String inUse, Map<String, byte[]> keys) {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int MINIMUM_KEY_BYTES = 16;

    /** Validates that the key in use is on the ring and that every key has the minimum length. */
    public KeyRing {
        Assert.hasText(inUse, "The id of the key in use");
        keys = Map.copyOf(keys);
        Assert.isTrue(keys.containsKey(inUse), "The key in use, '%s', is not on the ring.", inUse);
        keys.forEach(
                (id, key) ->
                        Assert.isTrue(
                                key.length >= MINIMUM_KEY_BYTES,
                                "The key '%s' must have at least %d bytes, but had %d.",
                                id,
                                MINIMUM_KEY_BYTES,
                                key.length));
    }

    /**
     * Computes the authentication code of a text with one of the keys.
     *
     * @param keyId the id of the key
     * @param text the text
     * @return the HMAC-SHA256, or empty if the key is not on the ring
     */
    Optional<byte[]> authenticate(String keyId, byte[] text) {
        byte[] key = keys.get(keyId);
        if (key == null) {
            return Optional.empty();
        }
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return Optional.of(mac.doFinal(text));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "The Java runtime does not support " + ALGORITHM + ".", e);
        }
    }

    @Override
    public String toString() {
        return "KeyRing[inUse=" + inUse + ", ids=" + keys.keySet() + "]";
    }
}
