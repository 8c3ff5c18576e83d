package io.masticpond.entry.http;

import java.nio.charset.StandardCharsets;

/**
 * Utility methods for names in the values of HTTP headers, whose bytes are handled as ISO 8859-1
 * text in this system.
 *
 * @since 0.3
 */
public final class HeaderText {

    private static final char DELETE = 0x7f;

    private HeaderText() {}

    /**
     * Returns the value of a header that carries a name as UTF-8.
     *
     * @param name the name, which {@link #canCarry} accepts
     * @return the value, one character for each byte
     */
    public static String encode(String name) {
        return isAscii(name)
                ? name
                : new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /**
     * Determines whether a header can carry a name such that its receiver reads the same name.
     *
     * @param name the name
     * @return whether it has no control character, no space at an end, and only letters that UTF-8
     *     can encode
     */
    public static boolean canCarry(String name) {
        return !name.isEmpty()
                && name.strip().length() == name.length()
                && name.chars().noneMatch(each -> each < ' ' || each == DELETE)
                && StandardCharsets.UTF_8.newEncoder().canEncode(name);
    }

    private static boolean isAscii(String name) {
        return name.chars().allMatch(each -> each <= DELETE);
    }
}
