package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Fingerprint of the contents of a request, which shows whether two requests with the same key are
 * the same.
 *
 * @param text a digest in hexadecimal digits
 * @since 0.1
 */
public record Fingerprint(String text) {

    private static final String ALGORITHM = "SHA-256";

    /** Validates the text. */
    public Fingerprint {
        Assert.hasText(text, "A fingerprint");
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param method the HTTP method
     * @param path the service and the path with its query
     * @param body the whole body
     * @return the fingerprint
     */
    public static Fingerprint of(String method, String path, byte[] body) {
        MessageDigest digest = digest();
        digest.update(method.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(path.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        return new Fingerprint(HexFormat.of().formatHex(digest.digest(body)));
    }

    /**
     * Creates the digest that is used for fingerprints and names of claims.
     *
     * @return a new SHA-256 digest
     */
    static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("The JDK does not provide " + ALGORITHM + ".", e);
        }
    }
}
