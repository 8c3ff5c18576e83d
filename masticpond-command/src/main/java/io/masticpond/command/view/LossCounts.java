package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of requests in log lines by how they ended, which show the requests that were not answered
 * in time, when and why.
 *
 * @since 0.2
 */
public final class LossCounts {

    private static final String IN_TIME = "in time";
    private static final String LATE = "late";
    private static final int PERCENT = 100;

    /** Statistics of the requests that share a row of a table. */
    private static final class Group {
        private final List<Long> mDurationsMillis = new ArrayList<>();
        private final Map<String, Integer> mCountsByEnd = new TreeMap<>();
        private int mSendCount;

        void add(String end, long millis, int sends) {
            mDurationsMillis.add(millis);
            mCountsByEnd.merge(end, 1, Integer::sum);
            mSendCount += sends;
        }

        int count(String end) {
            return mCountsByEnd.getOrDefault(end, 0);
        }

        int withPrefix(String prefix) {
            return mCountsByEnd.entrySet().stream()
                    .filter(each -> each.getKey().startsWith(prefix))
                    .mapToInt(Map.Entry::getValue)
                    .sum();
        }

        long percentile(int percent) {
            mDurationsMillis.sort(Comparator.naturalOrder());
            return mDurationsMillis.get((mDurationsMillis.size() - 1) * percent / PERCENT);
        }
    }

    /** Key that groups requests by route, service and the way in which they ended. */
    private record LossKey(String route, String service, String end) {}

    private final Duration mWindow;
    private final Map<Long, Group> mGroupsByWindow = new TreeMap<>();
    private final Map<LossKey, Group> mGroupsByLossKey =
            new TreeMap<>(
                    Comparator.comparing(LossKey::route)
                            .thenComparing(LossKey::service)
                            .thenComparing(LossKey::end));
    private final Map<String, Group> mGroupsByWorkspace = new TreeMap<>();
    private final Group mWithoutTime = new Group();
    private int mRequestCount;

    /**
     * Creates empty counts.
     *
     * @param window the time span of a row in the table by time
     */
    public LossCounts(Duration window) {
        mWindow = window;
    }

    /**
     * Counts a log line if it records the end of a request. Other lines are ignored.
     *
     * @param line a line of the log of an instance, as JSON
     */
    public void add(JsonNode line) {
        if (!line.path("event").asText().equals("request")) {
            return;
        }
        String end = end(line);
        long millis = line.path("millis").asLong();
        int sends = line.path("attempts").size();
        mRequestCount++;
        groupByTime(line).add(end, millis, sends);
        LossKey lossKey = new LossKey(text(line, "route"), text(line, "service"), end);
        mGroupsByLossKey.computeIfAbsent(lossKey, key -> new Group()).add(end, millis, sends);
        if (line.has("workspace")) {
            mGroupsByWorkspace
                    .computeIfAbsent(text(line, "workspace"), key -> new Group())
                    .add(end, millis, sends);
        }
    }

    /** Returns the group of the time of a line, or that of the lines without a valid time. */
    private Group groupByTime(JsonNode line) {
        try {
            long millis = Instant.parse(text(line, "at")).toEpochMilli();
            return mGroupsByWindow.computeIfAbsent(millis / mWindow.toMillis(), key -> new Group());
        } catch (DateTimeParseException e) {
            return mWithoutTime;
        }
    }

    /**
     * Returns the number of requests counted.
     *
     * @return the number of requests
     */
    public int requests() {
        return mRequestCount;
    }

    /**
     * Shows the counts by time, by route and cause, and by workspace if any line names one.
     *
     * @param page the page to write to
     */
    public void show(Page page) {
        page.table(timeTable());
        page.blankLine();
        page.table(causeTable());
        if (!mGroupsByWorkspace.isEmpty()) {
            page.blankLine();
            page.table(workspaceTable());
        }
    }

    private TextTable timeTable() {
        TextTable table = endTable("from");
        mGroupsByWindow.forEach(
                (window, group) ->
                        table.add(
                                endCells(
                                        Instant.ofEpochMilli(window * mWindow.toMillis()), group)));
        if (!mWithoutTime.mDurationsMillis.isEmpty()) {
            table.add(endCells("without a time", mWithoutTime));
        }
        return table;
    }

    /** Returns the counts by workspace, the one with the most requests first. */
    private TextTable workspaceTable() {
        TextTable table = endTable("workspace");
        mGroupsByWorkspace.entrySet().stream()
                .sorted(Comparator.comparingInt(each -> -each.getValue().mDurationsMillis.size()))
                .forEach(each -> table.add(endCells(each.getKey(), each.getValue())));
        return table;
    }

    private static TextTable endTable(String title) {
        return new TextTable(
                Column.textColumn(title),
                Column.numberColumn("requests"),
                Column.numberColumn("in time"),
                Column.numberColumn("late"),
                Column.numberColumn("refused"),
                Column.numberColumn("gave up"),
                Column.numberColumn("client gone"),
                Column.numberColumn("p50 ms"),
                Column.numberColumn("p99 ms"),
                Column.numberColumn("sends"));
    }

    private static Cell[] endCells(Object name, Group group) {
        return new Cell[] {
            Cell.of(name),
            Cell.of(group.mDurationsMillis.size()),
            Cell.of(group.count(IN_TIME)),
            Cell.of(group.count(LATE)),
            Cell.of(group.withPrefix("refused")),
            Cell.of(group.withPrefix("gave-up")),
            Cell.of(group.withPrefix("client-gone")),
            Cell.of(group.percentile(50)),
            Cell.of(group.percentile(99)),
            Cell.of(group.mSendCount)
        };
    }

    private TextTable causeTable() {
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
        mGroupsByLossKey.entrySet().stream()
                .sorted(Comparator.comparingInt(each -> -each.getValue().mDurationsMillis.size()))
                .forEach(each -> table.add(cells(each.getKey(), each.getValue())));
        return table;
    }

    private Cell[] cells(LossKey lossKey, Group group) {
        int requests = group.mDurationsMillis.size();
        return new Cell[] {
            Cell.of(lossKey.route()),
            Cell.of(lossKey.service()),
            Cell.of(lossKey.end()),
            Cell.of(requests),
            Cell.of(share(requests)),
            Cell.of(group.percentile(50)),
            Cell.of(group.percentile(99)),
            Cell.of(group.mSendCount)
        };
    }

    private String share(int count) {
        return String.format(Locale.ROOT, "%.2f", (double) PERCENT * count / mRequestCount);
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
