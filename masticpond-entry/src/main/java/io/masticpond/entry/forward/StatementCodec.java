package io.masticpond.entry.forward;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.serverlimit.LimitHeader;
import io.masticpond.core.statement.AttributedStatement;
import io.masticpond.core.statement.LeavingHeader;
import io.masticpond.core.statement.PauseHeader;
import io.masticpond.core.statement.ServerStatement;
import java.math.BigDecimal;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Codec for the statement of a backend server in a header between instances: the id of the server
 * and what it states, for example {@code i-4; leaving=1; pause=1.25; limit=2.5}. The values are
 * those of the server's own headers, so both are parsed alike. The load is left out, since it is
 * outdated when the other instance reaches the server again.
 */
final class StatementCodec {

    private static final String SEPARATOR = ";";
    private static final String LEAVING = "leaving=";
    private static final String PAUSE = "pause=";
    private static final String LIMIT = "limit=";

    /** Value of a header that the server sent and that could not be parsed. */
    private static final String MALFORMED = "?";

    private static final int NANOS_DIGITS = 9;

    private StatementCodec() {}

    static String encode(AttributedStatement attributed) {
        ServerStatement statement = attributed.statement();
        StringBuilder text =
                new StringBuilder(
                        URLEncoder.encode(attributed.server().value(), StandardCharsets.UTF_8));
        switch (statement.leaving()) {
            case LEAVING -> append(text, LEAVING, "1");
            case MALFORMED -> append(text, LEAVING, MALFORMED);
            case ABSENT -> {}
            default -> throw new IllegalStateException("The leaving header is unknown.");
        }
        switch (statement.pause().kind()) {
            case PAUSE -> append(text, PAUSE, seconds(statement.pause().length()));
            case MALFORMED -> append(text, PAUSE, MALFORMED);
            case ABSENT -> {}
            default -> throw new IllegalStateException("The kind of pause header is unknown.");
        }
        switch (statement.limit().kind()) {
            case LIMITED -> append(text, LIMIT, decimal(statement.limit().perSecond()));
            case MALFORMED -> append(text, LIMIT, MALFORMED);
            case ABSENT -> {}
            default -> throw new IllegalStateException("The kind of limit header is unknown.");
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String name, String value) {
        text.append(SEPARATOR).append(' ').append(name).append(value);
    }

    private static String seconds(Duration length) {
        return plain(
                BigDecimal.valueOf(length.getSeconds())
                        .add(BigDecimal.valueOf(length.getNano(), NANOS_DIGITS)));
    }

    private static String decimal(double value) {
        return plain(BigDecimal.valueOf(value));
    }

    private static String plain(BigDecimal value) {
        return value.stripTrailingZeros().toPlainString();
    }

    /** Returns the statement, or empty if the text does not start with the id of a server. */
    static Optional<AttributedStatement> decode(String text) {
        String[] parts = text.split(SEPARATOR);
        BackendServerId server;
        try {
            String id = parts.length == 0 ? "" : parts[0].strip();
            server = new BackendServerId(URLDecoder.decode(id, StandardCharsets.UTF_8));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
        return Optional.of(
                new AttributedStatement(
                        server,
                        new ServerStatement(
                                LimitHeader.parse(values(LIMIT, parts)),
                                Optional.empty(),
                                LeavingHeader.parse(values(LEAVING, parts)),
                                PauseHeader.parse(values(PAUSE, parts)))));
    }

    private static List<String> values(String name, String[] parts) {
        List<String> values = new ArrayList<>(1);
        for (int index = 1; index < parts.length; index++) {
            String part = parts[index].strip();
            if (part.startsWith(name)) {
                values.add(part.substring(name.length()));
            }
        }
        return values;
    }
}
