package io.masticpond.daemon.operator;

import io.masticpond.core.support.Assert;

/**
 * Secret that authenticates an operator, with the name under which its use is logged.
 *
 * @param name the name, which may be logged
 * @param secret the secret, at least 16 characters, which is never logged
 * @since 0.1
 */
public record OperatorToken(String name, String secret) {

    /** Minimum length of a secret, in characters. */
    public static final int MINIMUM_SECRET_LENGTH = 16;

    /** Validates the components; the error messages do not contain the secret. */
    public OperatorToken {
        Assert.hasText(name, "The name of an operator token");
        Assert.isTrue(
                secret != null && secret.length() >= MINIMUM_SECRET_LENGTH,
                "The secret of the operator token %s must have at least %d characters.",
                name,
                MINIMUM_SECRET_LENGTH);
    }

    @Override
    public String toString() {
        return "OperatorToken[name=" + name + "]";
    }
}
