package io.masticpond.core.workspace;

import io.masticpond.core.support.Assert;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * SHA-256 digest of a caller's key. Keys themselves are never stored, and the duration of a lookup
 * by digest reveals nothing that helps to guess a key.
 *
 * @since 0.2
 */
public final class KeyDigest {

    private static final ThreadLocal<MessageDigest> DIGESTS =
            ThreadLocal.withInitial(KeyDigest::digest);

    private final long mFirst;
    private final long mSecond;
    private final long mThird;
    private final long mFourth;

    private KeyDigest(ByteBuffer digest) {
        mFirst = digest.getLong();
        mSecond = digest.getLong();
        mThird = digest.getLong();
        mFourth = digest.getLong();
    }

    /**
     * Computes the digest of a key.
     *
     * @param key the key, which must contain text
     * @return its digest
     */
    public static KeyDigest of(String key) {
        Assert.hasText(key, "A key");
        byte[] bytes = DIGESTS.get().digest(key.getBytes(StandardCharsets.UTF_8));
        return new KeyDigest(ByteBuffer.wrap(bytes));
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("Every Java platform must support SHA-256.", exception);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest that
                && ((mFirst ^ that.mFirst)
                                | (mSecond ^ that.mSecond)
                                | (mThird ^ that.mThird)
                                | (mFourth ^ that.mFourth))
                        == 0;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mFirst);
    }

    /** Returns a constant, so that no log line or error message reveals the digest. */
    @Override
    public String toString() {
        return "key";
    }
}
