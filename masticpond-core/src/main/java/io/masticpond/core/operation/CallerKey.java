package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Name of the claim of a key that a caller chose itself.
 *
 * @param text a digest in hexadecimal digits, which reveals neither the key nor the caller
 * @since 0.1
 */
public record CallerKey(String text) {

    /** Maximum length of a caller's own key, in characters. */
    public static final int MAXIMUM_LENGTH = 255;

    private static final int DIGEST_BYTES = 16;
    private static final int HEXADECIMAL = 16;
    private static final int BUCKET_DIGITS = 7;

    /** Validates the text. */
    public CallerKey {
        Assert.isTrue(
                text != null && text.length() == 2 * DIGEST_BYTES,
                "The name of a claim must have %d digits, but was '%s'.",
                2 * DIGEST_BYTES,
                text);
    }

    /**
     * Computes the name of the claim of a caller's key.
     *
     * @param scope the scope that separates the keys of unrelated callers, such as the service and
     *     the credentials of the caller
     * @param key the key that the caller chose
     * @return the name
     */
    public static CallerKey of(String scope, String key) {
        Assert.isTrue(
                key != null && !key.isBlank() && key.length() <= MAXIMUM_LENGTH,
                "A caller's key must have 1 to %d characters.",
                MAXIMUM_LENGTH);
        MessageDigest digest = Fingerprint.digest();
        digest.update(scope.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        byte[] bytes = digest.digest(key.getBytes(StandardCharsets.UTF_8));
        return new CallerKey(HexFormat.of().formatHex(Arrays.copyOf(bytes, DIGEST_BYTES)));
    }

    /**
     * Returns which bucket holds the claim.
     *
     * @param buckets the number of buckets
     * @return the number of the bucket, starting from 0
     */
    public int bucket(int buckets) {
        return Integer.parseInt(text.substring(0, BUCKET_DIGITS), HEXADECIMAL) % buckets;
    }
}
