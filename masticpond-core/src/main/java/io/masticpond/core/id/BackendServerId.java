package io.masticpond.core.id;

/**
 * Identifier of a backend server.
 *
 * @param value the text, as the platform or an operator states it; not empty
 * @since 0.1
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is empty
     */
    public BackendServerId {
        Identifiers.checkName(value, "A backend server id");
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
