package io.masticpond.daemon.platform;

import io.masticpond.core.support.Assert;
import java.util.regex.Pattern;

/**
 * Key of an object at the platform.
 *
 * @param kind the kind of the object
 * @param name the name within the kind: at most 256 letters, digits, dots, underscores and hyphens,
 *     of which the first is a letter or a digit
 * @since 0.1
 */
public record ObjectKey(ObjectKind kind, String name) {

    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,255}");

    /** Validates the components. */
    public ObjectKey {
        Assert.notNull(kind, "The kind of an object");
        Assert.hasText(name, "The name of an object");
        Assert.isTrue(
                NAME_PATTERN.matcher(name).matches(),
                "The name of an object has letters, digits, '.', '_' and '-', but was '%s'.",
                name);
    }

    @Override
    public String toString() {
        return kind.path() + "/" + name;
    }
}
