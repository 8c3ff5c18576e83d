package io.masticpond.core.id;

/**
 * Identifier of a region, which contains availability zones.
 *
 * @param value the text, as the platform or an operator states it; not empty
 * @since 0.1
 */
public record RegionId(String value) implements Comparable<RegionId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is empty
     */
    public RegionId {
        Identifiers.checkName(value, "A region id");
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof RegionId && value.equals(((RegionId) other).value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
