package io.masticpond.core.spending;

import io.masticpond.core.id.ShiftId;
import java.time.LocalDate;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/** Builder of shift ids from the date and the escaped shift name, without dots. */
final class ShiftNames {

    private static final int MAXIMUM_LENGTH = 64;
    private static final int TRUNCATED_LENGTH = 48;
    private static final int DATE_LENGTH = "2026-12-02".length();

    private ShiftNames() {}

    static ShiftId idOf(LocalDate date, String name) {
        return new ShiftId(textOf(date, name));
    }

    static Optional<LocalDate> dateOf(ShiftId id) {
        String text = id.value();
        try {
            int length = Math.min(text.length(), DATE_LENGTH);
            return Optional.of(LocalDate.parse(text.substring(0, length)));
        } catch (DateTimeParseException e) {
            return Optional.empty();
        }
    }

    private static String textOf(LocalDate date, String name) {
        StringBuilder text = new StringBuilder().append(date).append('-');
        for (int index = 0; index < name.length(); index++) {
            char character = name.charAt(index);
            if (isUnescaped(character)) {
                text.append(character);
                continue;
            }
            text.append(String.format("_%04x", (int) character));
        }
        if (text.length() <= MAXIMUM_LENGTH) {
            return text.toString();
        }
        return text.substring(0, TRUNCATED_LENGTH) + String.format("_%08x", name.hashCode());
    }

    private static boolean isUnescaped(char character) {
        return character == '-'
                || (character >= '0' && character <= '9')
                || (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z');
    }
}
