package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * {@link KeyAuthenticator} that uses HMAC-SHA256, truncated to 128 bits as RFC 2104 allows.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class HmacKeyAuthenticator implements KeyAuthenticator {

    /** Minimum length of a secret, in bytes. */
    public static final int MINIMUM_SECRET_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    private static final int TRUNCATED_BYTES = 16;

    private final ThreadLocal<Mac> mMac;

    /**
     * Creates an authenticator with a secret of this incarnation of the instance.
     *
     * @param secret random bytes, at least {@link #MINIMUM_SECRET_BYTES}
     */
    public HmacKeyAuthenticator(byte[] secret) {
        Assert.isTrue(
                secret.length >= MINIMUM_SECRET_BYTES,
                "A secret must have at least %d bytes, but had %d.",
                MINIMUM_SECRET_BYTES,
                secret.length);
        SecretKeySpec key = new SecretKeySpec(secret, ALGORITHM);
        mMac = ThreadLocal.withInitial(() -> mac(key));
    }

    private static Mac mac(SecretKeySpec key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("The JDK does not provide " + ALGORITHM + ".", e);
        }
    }

    @Override
    public String authenticate(String text) {
        byte[] code = mMac.get().doFinal(text.getBytes(StandardCharsets.UTF_8));
        return Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(Arrays.copyOf(code, TRUNCATED_BYTES));
    }
}
