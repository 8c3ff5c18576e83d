package io.masticpond.command.view;

import java.math.BigDecimal;
import java.util.OptionalLong;

/**
 * Formatting of values for output.
 *
 * @since 0.1
 */
public final class Texts {

    private static final int MICRO_DIGITS = 6;
    private static final int MINIMUM_MONEY_DIGITS = 2;

    private Texts() {}

    /**
     * Sanitizes an untrusted text for output on a terminal.
     *
     * @param text the text
     * @return the text on one line, with each control and format character replaced by a question
     *     mark
     */
    public static String printable(String text) {
        StringBuilder safe = new StringBuilder(text.length());
        text.codePoints().forEach(point -> safe.appendCodePoint(isPrintable(point) ? point : '?'));
        return safe.toString();
    }

    /**
     * Formats an amount of money.
     *
     * @param micros the amount in millionths of the unit of money
     * @return the amount in the unit of money, with at least two decimals
     */
    public static String money(long micros) {
        BigDecimal amount = BigDecimal.valueOf(micros, MICRO_DIGITS).stripTrailingZeros();
        int digits = Math.max(MINIMUM_MONEY_DIGITS, amount.scale());
        return amount.setScale(digits).toPlainString();
    }

    /**
     * Formats an amount of money that may be unknown.
     *
     * @param micros the amount in millionths of the unit of money
     * @return the amount, or a dash if it is unknown
     */
    public static String money(OptionalLong micros) {
        return micros.isPresent() ? money(micros.getAsLong()) : "-";
    }

    /**
     * Formats a share as a percentage.
     *
     * @param part the part
     * @param whole the whole
     * @return the percentage without decimals, or a dash if the whole is not positive
     */
    public static String percent(double part, double whole) {
        return whole <= 0 ? "-" : Math.round(100 * part / whole) + "%";
    }

    private static boolean isPrintable(int point) {
        return switch (Character.getType(point)) {
            case Character.CONTROL,
                    Character.FORMAT,
                    Character.LINE_SEPARATOR,
                    Character.PARAGRAPH_SEPARATOR,
                    Character.SURROGATE,
                    Character.PRIVATE_USE,
                    Character.UNASSIGNED ->
                    false;
            default -> true;
        };
    }
}
