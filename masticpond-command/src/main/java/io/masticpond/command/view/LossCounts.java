package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts from the lines of requests what was not answered in time, when, and why.
 *
 * @since 0.2
 */
public final class LossCounts {

    private static final String IN_TIME = "in time";
    private static final String LATE = "late";
    private static final int PERCENT = 100;

    /** The requests that share a cell of a table, by how long they took. */
    private static final class Group {
        private final List<Long> mMillis = new ArrayList<>();
        private final Map<String, Integer> mEnds = new TreeMap<>();
        private int mSends;

        void add(String end, long millis, int sends) {
            mMillis.add(millis);
            mEnds.merge(end, 1, Integer::sum);
            mSends += sends;
        }

        int count(String end) {
            return mEnds.getOrDefault(end, 0);
        }

        int withPrefix(String prefix) {
            return mEnds.entrySet().stream()
                    .filter(each -> each.getKey().startsWith(prefix))
                    .mapToInt(Map.Entry::getValue)
                    .sum();
        }

        long percentile(int percent) {
            mMillis.sort(Comparator.naturalOrder());
            return mMillis.get((mMillis.size() - 1) * percent / PERCENT);
        }
    }

    /** One way in which requests of a route ended. */
    private record LossKey(String route, String service, String end) {}

    private final Duration mWindow;
    private final Map<Long, Group> mWindows = new TreeMap<>();
    private final Map<LossKey, Group> mWays =
            new TreeMap<>(
                    Comparator.comparing(LossKey::route)
                            .thenComparing(LossKey::service)
                            .thenComparing(LossKey::end));
    private int mAll;

    /**
     * Starts with nothing counted.
     *
     * @param window how much time a row of the table by time spans
     */
    public LossCounts(Duration window) {
        mWindow = window;
    }

    /**
     * Counts a line, if it is that of the end of a request.
     *
     * @param line a line of the log of an instance
     */
    public void add(JsonNode line) {
        if (!line.path("event").asText().equals("request")) {
            return;
        }
        String end = end(line);
        long millis = line.path("millis").asLong();
        int sends = line.path("attempts").size();
        long window = Instant.parse(line.path("at").asText()).toEpochMilli() / mWindow.toMillis();
        mAll++;
        mWindows.computeIfAbsent(window, key -> new Group()).add(end, millis, sends);
        LossKey way = new LossKey(text(line, "route"), text(line, "service"), end);
        mWays.computeIfAbsent(way, key -> new Group()).add(end, millis, sends);
    }

    /**
     * Counts the requests.
     *
     * @return the count
     */
    public int requests() {
        return mAll;
    }

    /**
     * Shows the counts by time, and by route and cause.
     *
     * @param page where
     */
    public void show(Page page) {
        page.table(byTime());
        page.gap();
        page.table(byWay());
    }

    private TextTable byTime() {
        TextTable table =
                new TextTable(
                        Column.textColumn("from"),
                        Column.numberColumn("requests"),
                        Column.numberColumn("in time"),
                        Column.numberColumn("late"),
                        Column.numberColumn("refused"),
                        Column.numberColumn("gave up"),
                        Column.numberColumn("client gone"),
                        Column.numberColumn("p50 ms"),
                        Column.numberColumn("p99 ms"),
                        Column.numberColumn("sends"));
        mWindows.forEach(
                (window, group) ->
                        table.add(
                                Cell.of(Instant.ofEpochMilli(window * mWindow.toMillis())),
                                Cell.of(group.mMillis.size()),
                                Cell.of(group.count(IN_TIME)),
                                Cell.of(group.count(LATE)),
                                Cell.of(group.withPrefix("refused")),
                                Cell.of(group.withPrefix("gave-up")),
                                Cell.of(group.withPrefix("client-gone")),
                                Cell.of(group.percentile(50)),
                                Cell.of(group.percentile(99)),
                                Cell.of(group.mSends)));
        return table;
    }

    private TextTable byWay() {
        TextTable table =
                new TextTable(
                        Column.textColumn("route"),
                        Column.textColumn("service"),
                        Column.textColumn("end"),
                        Column.numberColumn("requests"),
                        Column.numberColumn("% of all"),
                        Column.numberColumn("p50 ms"),
                        Column.numberColumn("p99 ms"),
                        Column.numberColumn("sends"));
        mWays.entrySet().stream()
                .sorted(Comparator.comparingInt(each -> -each.getValue().mMillis.size()))
                .forEach(each -> table.add(cells(each.getKey(), each.getValue())));
        return table;
    }

    private Cell[] cells(LossKey way, Group group) {
        int requests = group.mMillis.size();
        return new Cell[] {
            Cell.of(way.route()),
            Cell.of(way.service()),
            Cell.of(way.end()),
            Cell.of(requests),
            Cell.of(share(requests)),
            Cell.of(group.percentile(50)),
            Cell.of(group.percentile(99)),
            Cell.of(group.mSends)
        };
    }

    private String share(int count) {
        return String.format(Locale.ROOT, "%.2f", (double) PERCENT * count / mAll);
    }

    private static String end(JsonNode line) {
        String outcome = line.path("outcome").asText();
        if (!outcome.equals("answered")) {
            String cause = text(line, "cause");
            return cause.isEmpty() ? outcome : outcome + ": " + cause;
        }
        long target = line.path("targetMillis").asLong(Long.MAX_VALUE);
        if (line.path("status").asInt() >= 500) {
            return "answered: " + line.path("status").asInt();
        }
        return line.path("millis").asLong() <= target ? IN_TIME : LATE;
    }

    private static String text(JsonNode line, String name) {
        return line.path(name).asText("");
    }
}
