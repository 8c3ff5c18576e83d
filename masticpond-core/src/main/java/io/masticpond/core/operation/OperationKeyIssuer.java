package io.masticpond.core.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.support.Assert;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Issuer of the operation keys of one home, which also verifies them. Thread-safe.
 *
 * <p>It retains no state for each key: the authenticator proves that a key was issued here.
 *
 * @since 0.1
 */
public final class OperationKeyIssuer {

    private final Incarnation mHome;
    private final KeyAuthenticator mAuthenticator;
    private final HomeClock mClock;
    private final long mLifetimeMillis;
    private final AtomicLong mLastSequence = new AtomicLong();

    /**
     * Creates the issuer of an incarnation.
     *
     * @param home the incarnation of this instance
     * @param authenticator the authenticator with a secret of this incarnation
     * @param clock the clock of the home
     * @param lifetime the time for which a key is valid
     */
    public OperationKeyIssuer(
            Incarnation home, KeyAuthenticator authenticator, HomeClock clock, Duration lifetime) {
        mHome = Assert.notNull(home, "The home of the keys");
        mAuthenticator = Assert.notNull(authenticator, "An authenticator");
        mClock = Assert.notNull(clock, "A clock");
        mLifetimeMillis = Assert.positive(lifetime.toMillis(), "The lifetime of a key");
    }

    /**
     * Issues a new key.
     *
     * @return the key
     */
    public OperationKey issue() {
        long sequence = mLastSequence.incrementAndGet();
        long expires = mClock.millis() + mLifetimeMillis;
        return new OperationKey(mHome, sequence, expires, authenticator(mHome, sequence, expires));
    }

    /**
     * Determines whether a key was issued by this incarnation and is unaltered.
     *
     * @param key the key
     * @return whether the key is authentic
     */
    public boolean hasIssued(OperationKey key) {
        if (!key.home().equals(mHome)) {
            return false;
        }
        String expected = authenticator(key.home(), key.sequence(), key.expiresMillis());
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.US_ASCII),
                key.authenticator().getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Returns the home of the keys.
     *
     * @return the incarnation of the instance
     */
    public Incarnation home() {
        return mHome;
    }

    private String authenticator(Incarnation home, long sequence, long expiresMillis) {
        return mAuthenticator.authenticate(
                OperationKey.authenticatedText(home, sequence, expiresMillis));
    }
}
