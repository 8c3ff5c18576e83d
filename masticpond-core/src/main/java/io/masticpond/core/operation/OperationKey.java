package io.masticpond.core.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.support.Assert;
import io.vavr.control.Try;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Key of one operation that runs at most once, with the only incarnation that may run it.
 *
 * @param home the incarnation that issued the key and alone may run the operation
 * @param sequence the number of the key at its home, starting from 1
 * @param expiresMillis the time from which the home no longer runs it, in milliseconds since the
 *     epoch by the clock of the home
 * @param authenticator the proof that the home issued the key
 * @since 0.1
 */
public record OperationKey(
        Incarnation home, long sequence, long expiresMillis, String authenticator) {

    /** Maximum length of the text form, in characters. */
    public static final int MAXIMUM_LENGTH = 200;

    private static final char SEPARATOR = ':';
    private static final int PARTS = 4;
    private static final Pattern AUTHENTICATOR = Pattern.compile("[A-Za-z0-9_-]{1,64}");

    /** Validates the components. */
    public OperationKey {
        Assert.notNull(home, "The home of an operation key");
        Assert.positive(sequence, "The sequence of an operation key");
        Assert.positive(expiresMillis, "The expiry of an operation key");
        Assert.isTrue(
                authenticator != null && AUTHENTICATOR.matcher(authenticator).matches(),
                "An authenticator must have 1 to 64 letters, digits, '-' and '_', but was '%s'.",
                authenticator);
    }

    /**
     * Parses the text form that {@link #toString} returns.
     *
     * @param text the text, which may come from an untrusted source
     * @return the key, or empty if the text has another form
     */
    public static Optional<OperationKey> parse(String text) {
        if (text == null || text.length() > MAXIMUM_LENGTH) {
            return Optional.empty();
        }
        String[] parts = text.split(String.valueOf(SEPARATOR), -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        return Try.of(() -> read(parts)).toJavaOptional();
    }

    private static OperationKey read(String[] parts) {
        return new OperationKey(
                Incarnation.parse(parts[0]),
                Long.parseLong(parts[1]),
                Long.parseLong(parts[2]),
                parts[PARTS - 1]);
    }

    /**
     * Returns the text that the authenticator covers.
     *
     * @param home the home
     * @param sequence the sequence
     * @param expiresMillis the expiry
     * @return the text form without the authenticator
     */
    static String authenticatedText(Incarnation home, long sequence, long expiresMillis) {
        return home.toString() + SEPARATOR + sequence + SEPARATOR + expiresMillis;
    }

    /**
     * Returns the id of the operation for logs and backend servers, which does not reveal the key.
     *
     * @return the home and the sequence
     */
    public String operationId() {
        return home.toString() + SEPARATOR + sequence;
    }

    /** Returns the text form for headers, which {@link #parse} reads. */
    @Override
    public String toString() {
        return authenticatedText(home, sequence, expiresMillis) + SEPARATOR + authenticator;
    }
}
