package io.masticpond.core.id;

/**
 * Identifier of a site, which is a location near clients that client address blocks refer to.
 *
 * @param value the text, at most 64 letters, digits, dots, underscores and hyphens
 * @since 0.1
 */
public record SiteId(String value) implements Comparable<SiteId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is not an identifier
     */
    public SiteId {
        Identifiers.check(value, "A site id");
    }

    @Override
    public int compareTo(SiteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
