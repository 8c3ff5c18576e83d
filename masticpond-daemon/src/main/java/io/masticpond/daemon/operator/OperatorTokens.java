package io.masticpond.daemon.operator;

import io.masticpond.core.support.Assert;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Optional;

/**
 * Authenticator of operators by bearer tokens (RFC 6750), in constant time. Thread-safe.
 *
 * <p>Only hashes of the tokens are kept. Every check compares all tokens, so its duration reveals
 * neither which one matched nor how much of it.
 *
 * @since 0.1
 */
public final class OperatorTokens {

    private static final String SCHEME = "Bearer ";

    private final List<HashedToken> mTokens;

    /**
     * Creates an authenticator for the given tokens.
     *
     * @param tokens the accepted tokens; if empty, every request is rejected
     */
    public OperatorTokens(List<OperatorToken> tokens) {
        Assert.notNull(tokens, "Operator tokens");
        mTokens =
                tokens.stream()
                        .map(token -> new HashedToken(token.name(), hash(token.secret())))
                        .toList();
    }

    /**
     * Returns the operator whose token a header contains.
     *
     * @param authorization the value of the Authorization header, or {@code null}
     * @return the name of the token, or empty if no token matches
     */
    public Optional<String> operatorOf(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return Optional.empty();
        }
        byte[] given = hash(authorization.substring(SCHEME.length()).strip());
        Optional<String> found = Optional.empty();
        for (HashedToken token : mTokens) {
            if (MessageDigest.isEqual(token.mHash, given)) {
                found = Optional.of(token.mName);
            }
        }
        return found;
    }

    private static byte[] hash(String secret) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available.", e);
        }
    }

    /** Hashed secret of a token, with the token's name. */
    private static final class HashedToken {

        private final String mName;
        private final byte[] mHash;

        HashedToken(String name, byte[] hash) {
            mName = name;
            mHash = hash;
        }
    }
}
