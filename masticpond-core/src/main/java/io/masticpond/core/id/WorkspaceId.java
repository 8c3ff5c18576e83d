package io.masticpond.core.id;

/**
 * Identifier of a workspace, which is a caller's account with its own keys, rate and regions.
 *
 * @param value the text, as the platform or an operator states it; not empty
 * @since 0.2
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is empty
     */
    public WorkspaceId {
        Identifiers.checkName(value, "A workspace id");
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof WorkspaceId && value.equals(((WorkspaceId) other).value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
