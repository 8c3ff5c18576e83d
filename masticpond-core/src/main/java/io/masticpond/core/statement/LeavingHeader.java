package io.masticpond.core.statement;

import java.util.List;

/**
 * What one answer of a backend server says about its leaving.
 *
 * @since 0.2
 */
public enum LeavingHeader {
    /** It says nothing. */
    ABSENT,
    /** The server leaves, so it takes no new requests. */
    LEAVING,
    /** It says something else, which means nothing. */
    MALFORMED;

    private static final String YES = "1";

    /**
     * Reads the values of the header of one answer.
     *
     * @param values all values, none if the header is absent
     * @return what they say; of several, one that says that the server leaves is enough
     */
    public static LeavingHeader parse(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        return values.stream().anyMatch(value -> value.trim().equals(YES)) ? LEAVING : MALFORMED;
    }
}
