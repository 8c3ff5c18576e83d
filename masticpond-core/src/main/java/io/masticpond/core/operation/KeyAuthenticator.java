package io.masticpond.core.operation;

/**
 * Strategy interface for computing the authenticator that proves that a key was issued by its home.
 *
 * <p>Only the home verifies its keys, so the secret need not leave the process. Implementations
 * must be thread-safe.
 *
 * @since 0.1
 */
public interface KeyAuthenticator {

    /**
     * Computes the authenticator of a text.
     *
     * @param text the text
     * @return the authenticator in letters, digits, hyphens and underscores
     */
    String authenticate(String text);
}
