package io.masticpond.core.id;

/**
 * Identifier of a backend server.
 *
 * @param value the text, at most 64 letters, digits, dots, underscores and hyphens
 * @since 0.1
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is not an identifier
     */
    public BackendServerId {
        Identifiers.check(value, "A backend server id");
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof BackendServerId && value.equals(((BackendServerId) other).value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
