package io.masticpond.entry.http;

/**
 * Utility methods for the syntax of request lines and headers.
 *
 * @since 0.2
 */
final class HeadSyntax {

    private static final int ASCII_SIZE = 128;
    private static final int DELETE = 0x7f;
    private static final boolean[] TOKEN_CHARACTERS = new boolean[ASCII_SIZE];

    static {
        for (char c = '0'; c <= '9'; c++) {
            TOKEN_CHARACTERS[c] = true;
        }
        for (char c = 'a'; c <= 'z'; c++) {
            TOKEN_CHARACTERS[c] = true;
            TOKEN_CHARACTERS[Character.toUpperCase(c)] = true;
        }
        for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
            TOKEN_CHARACTERS[c] = true;
        }
    }

    private HeadSyntax() {}

    /** Returns whether a byte may be part of a method or a header name. */
    static boolean isToken(byte value) {
        return value >= 0 && TOKEN_CHARACTERS[value];
    }

    /** Returns whether a byte may be part of a header value. */
    static boolean isValue(byte value) {
        return value < 0 || (value >= ' ' && value != DELETE) || value == '\t';
    }

    /** Returns whether a byte may be part of a request target. */
    static boolean isTarget(byte value) {
        return value > ' ' && value != DELETE;
    }

    /** Returns whether the text is acceptable as a host with an optional port. */
    static boolean isHost(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= DELETE || "/?#@,\\\"<>".indexOf(c) >= 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Parses a length that consists of digits only. Returns -1 if the text is not a valid length.
     */
    static long parseLength(String text) {
        int digits = text.length();
        if (digits == 0 || digits > 18) {
            return -1;
        }
        long length = 0;
        for (int i = 0; i < digits; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            length = length * 10 + digit;
        }
        return length;
    }

    /** Returns whether a comma-separated list contains a token, ignoring case. */
    static boolean hasToken(String list, String token) {
        int begin = 0;
        while (begin <= list.length()) {
            int comma = list.indexOf(',', begin);
            int end = comma < 0 ? list.length() : comma;
            if (list.substring(begin, end).strip().equalsIgnoreCase(token)) {
                return true;
            }
            begin = end + 1;
        }
        return false;
    }
}
