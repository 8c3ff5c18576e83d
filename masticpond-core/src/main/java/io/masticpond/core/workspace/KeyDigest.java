package io.masticpond.core.workspace;

import io.masticpond.core.support.Assert;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of a caller's key. Keys themselves are never stored, and the duration of a lookup
 * by digest reveals nothing that helps to guess a key.
 *
 * @since 0.2
 */
public final class KeyDigest {

    private static final ThreadLocal<MessageDigest> DIGESTS =
            ThreadLocal.withInitial(KeyDigest::digest);

    private static final int BYTES = 32;

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

    /**
     * Parses a digest.
     *
     * @param hexadecimal the digest as returned by {@link #toHexadecimal}
     * @return the digest
     * @throws IllegalArgumentException if the text is no digest
     */
    public static KeyDigest parse(String hexadecimal) {
        byte[] bytes = HexFormat.of().parseHex(hexadecimal);
        Assert.isTrue(
                bytes.length == BYTES, "A digest has %d bytes, but was %d.", BYTES, bytes.length);
        return new KeyDigest(ByteBuffer.wrap(bytes));
    }

    /**
     * Returns the digest for another instance, which knows the digests of all keys.
     *
     * @return the digest as hexadecimal text
     */
    public String toHexadecimal() {
        ByteBuffer bytes = ByteBuffer.allocate(BYTES);
        bytes.putLong(mFirst).putLong(mSecond).putLong(mThird).putLong(mFourth);
        return HexFormat.of().formatHex(bytes.array());
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
