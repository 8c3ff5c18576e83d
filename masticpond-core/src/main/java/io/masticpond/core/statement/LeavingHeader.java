package io.masticpond.core.statement;

import java.util.List;

/**
 * Value of the leaving header in one answer of a backend server.
 *
 * @since 0.2
 */
public enum LeavingHeader {
    /** The header is absent. */
    ABSENT,
    /** The server is leaving and accepts no new requests. */
    LEAVING,
    /** The header is not valid and is ignored. */
    MALFORMED;

    private static final String LEAVING_VALUE = "1";

    /**
     * Parses the header values of one answer.
     *
     * @param values all values of the header, empty if the header is absent
     * @return the parsed header; {@link #LEAVING} if at least one of several values states it
     */
    public static LeavingHeader parse(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        return values.stream().anyMatch(value -> value.trim().equals(LEAVING_VALUE))
                ? LEAVING
                : MALFORMED;
    }
}
