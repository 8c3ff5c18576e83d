package io.masticpond.entry.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.log.AttemptResult;
import io.masticpond.entry.log.CallerInputs;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.LineCounts;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.RouteKind;
import io.masticpond.entry.replica.Category;
import io.masticpond.entry.replica.FeedError;
import io.masticpond.entry.replica.FeedResult;
import io.masticpond.entry.replica.StoreFeed;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;

/** Tests of the text of a scrape. */
final class EntryMetricsTest {

    private static final Pattern SHOWN = Pattern.compile("(?m)^(masticpond_\\w+)(?:\\{(.*)\\})? ");
    private static final Pattern LABEL = Pattern.compile("(\\w+)=\"");
    private static final Pattern NAME = Pattern.compile("`(\\w+)`");

    private final EntryMetrics mMetrics =
            new EntryMetrics(
                    new LineCounts(),
                    values -> {
                        values.set(EntryValue.ROUTING_VERSION, 7);
                        values.set(EntryValue.HEARTBEATS_SENT, 12);
                    });
    private final DecisionLog mLog = mMetrics.counting(DecisionLog.NONE);

    @Example
    void requestsAreCountedByRouteOutcomeAndCause() {
        RequestRecord refused = routed("shop");
        refused.refused("no-room", 503, 100, millis(1));
        mLog.requestEnded(refused);
        mLog.requestEnded(answered("shop", 30));
        mLog.requestEnded(answered("shop", 300));
        RequestRecord lost = new RequestRecord("r", 0);
        lost.refused("no-route", 404, RequestRecord.UNKNOWN, 0);
        mLog.requestEnded(lost);
        assertThat(mMetrics.scrape().lines())
                .contains(
                        "masticpond_entry_requests_total{outcome=\"answered\",route=\"shop\"} 2.0",
                        "masticpond_entry_requests_total{outcome=\"refused\",route=\"shop\"} 1.0",
                        "masticpond_entry_requests_total{outcome=\"refused\",route=\"none\"} 1.0",
                        "masticpond_entry_failures_total{cause=\"no-room\",kind=\"idempotent\","
                                + "outcome=\"refused\"} 1.0",
                        "masticpond_entry_failures_total{cause=\"no-route\",kind=\"none\","
                                + "outcome=\"refused\"} 1.0",
                        "masticpond_entry_request_seconds_bucket{kind=\"idempotent\","
                                + "outcome=\"answered\",le=\"0.04\"} 1",
                        "masticpond_entry_request_seconds_bucket{kind=\"idempotent\","
                                + "outcome=\"answered\",le=\"0.3\"} 2",
                        "masticpond_entry_request_seconds_count{kind=\"idempotent\","
                                + "outcome=\"answered\"} 2");
    }

    @Example
    void attemptsAndRetriesAreCounted() {
        RequestRecord request = routed("shop");
        request.sent(new BackendServerId("b1"), new ZoneId("z1"), false, 0);
        request.attemptEnded(AttemptResult.TURNED_AWAY, 503, millis(1));
        mLog.requestRetried(request);
        request.sent(new BackendServerId("b2"), new ZoneId("z1"), false, millis(1));
        request.attemptEnded(AttemptResult.ANSWERED, 200, millis(2));
        request.answered(200, millis(2));
        mLog.requestEnded(request);
        assertThat(mMetrics.scrape().lines())
                .contains(
                        "masticpond_entry_attempts_total{result=\"turned-away\"} 1.0",
                        "masticpond_entry_attempts_total{result=\"answered\"} 1.0",
                        "masticpond_entry_retries_total 1.0",
                        "masticpond_entry_attempt_seconds_count 1");
    }

    @Example
    void numberOfLabelsIsBoundedWhateverTheNames() {
        for (int index = 0; index < 1_000; index++) {
            RequestRecord request = routed("route" + index);
            request.refused("cause" + index, 503, 100, 0);
            mLog.requestEnded(request);
        }
        String text = mMetrics.scrape();
        assertThat(text.lines().filter(line -> line.contains("requests_total{")))
                .hasSize(RequestCounts.ROUTES + 1)
                .contains(
                        "masticpond_entry_requests_total{outcome=\"refused\",route=\"other\"}"
                                + " 976.0");
        assertThat(text.lines().filter(line -> line.contains("failures_total{")))
                .hasSize(RequestCounts.CAUSES + 1);
    }

    @Example
    void valuesOfOtherComponentsAreShownOnlyIfSet() {
        assertThat(mMetrics.scrape().lines())
                .contains(
                        "masticpond_entry_routing_version 7.0",
                        "masticpond_entry_heartbeats_sent_total 12.0")
                .noneMatch(line -> line.contains("cold_backend_servers"));
    }

    @Example
    void numberOfServicesIsBounded() {
        EntryMetrics metrics =
                new EntryMetrics(
                        new LineCounts(),
                        values -> {
                            for (int index = 0; index < 100; index++) {
                                ServiceId service = new ServiceId("service" + index);
                                values.set(ServiceValue.SHARE_REFUSALS, service, 2);
                            }
                        });
        assertThat(metrics.scrape().lines().filter(line -> line.contains("share_refusals_total{")))
                .hasSize(25)
                .contains("masticpond_entry_share_refusals_total{service=\"other\"} 152.0");
    }

    @Example
    void storeCallsAreCountedAndDelegated() {
        StoreFeed feed = mMetrics.counting(new FailingFeed());
        List<Object> results = new ArrayList<>();
        feed.list(Category.ROUTING, Duration.ofSeconds(1), results::add);
        feed.watch(Category.ROUTING, 1, Duration.ofSeconds(1), results::add).run();
        feed.put(Category.INSTANCES, "i1", null, results::add);
        feed.delete(Category.INSTANCES, "i1", results::add);
        assertThat(results).hasSize(3);
        assertThat(mMetrics.scrape().lines())
                .contains(
                        "masticpond_entry_store_calls_total{kind=\"list\",result=\"unreachable\"}"
                                + " 1.0",
                        "masticpond_entry_store_calls_total{kind=\"watch\",result=\"done\"} 0.0",
                        "masticpond_entry_store_calls_total{kind=\"put\",result=\"conflict\"} 1.0",
                        "masticpond_entry_store_calls_total{kind=\"delete\",result=\"done\"} 1.0");
    }

    /** Guards against a scrape that grows with the number of services and regions. */
    @Example
    void weightsOfFurtherServicesAndRegionsShareOneLabel() {
        EntryMetrics metrics =
                new EntryMetrics(
                        new LineCounts(),
                        values -> {
                            for (int each = 0; each < 900; each++) {
                                values.setRegionWeight(
                                        new ServiceId("service-" + each / 30),
                                        new RegionId("region-" + each % 30),
                                        each == 899 ? 0.5 : 1);
                            }
                        });
        assertThat(metrics.scrape().lines().filter(line -> line.contains("region_weight{")))
                .hasSize(25 * 9)
                .contains(
                        "masticpond_entry_region_weight{region=\"other\",service=\"other\"} 0.5",
                        "masticpond_entry_region_weight"
                                + "{region=\"region-7\",service=\"service-23\"} 1.0");
    }

    @Example
    void operationsPageListsEachMetricAndItsLabels() throws IOException {
        EntryMetrics all =
                new EntryMetrics(
                        new LineCounts(),
                        values -> {
                            for (EntryValue value : EntryValue.values()) {
                                values.set(value, 1);
                            }
                            values.setRegionWeight(new ServiceId("cart"), new RegionId("north"), 1);
                            for (ServiceValue value : ServiceValue.values()) {
                                values.set(value, new ServiceId("shop"), 1);
                            }
                        });
        RequestRecord refused = routed("shop");
        refused.refused("no-room", 503, 100, millis(1));
        refused.caller(new CallerInputs(new WorkspaceId("shop"), 1, true, 1, 1));
        all.counting(DecisionLog.NONE).requestEnded(refused);
        Map<String, Set<String>> shown = new TreeMap<>();
        Matcher lines = SHOWN.matcher(all.scrape());
        while (lines.find()) {
            Set<String> labels =
                    shown.computeIfAbsent(
                            lines.group(1).replaceAll("_(bucket|count|sum)$", ""),
                            name -> new TreeSet<>());
            Matcher label = LABEL.matcher(String.valueOf(lines.group(2)));
            while (label.find()) {
                labels.add(label.group(1));
            }
            labels.remove("le");
        }
        assertThat(listed()).isEqualTo(shown);
    }

    /**
     * Reads the table of the operations page: the metric names, and the labels that the names of
     * one row share.
     */
    private static Map<String, Set<String>> listed() throws IOException {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve("docs/operations/metrics.md"))) {
            folder = folder.getParent();
        }
        String page = Files.readString(folder.resolve("docs/operations/metrics.md"));
        String table = page.substring(page.indexOf("| metric (`masticpond_entry_"));
        Map<String, Set<String>> listed = new TreeMap<>();
        for (String row : table.substring(0, table.indexOf("\n\n")).lines().skip(2).toList()) {
            String[] cells = row.split("\\|");
            Set<String> labels = new TreeSet<>();
            for (String label : cells[2].trim().split(", ")) {
                if (!label.isEmpty()) {
                    labels.add(label);
                }
            }
            Matcher names = NAME.matcher(cells[1]);
            while (names.find()) {
                listed.put("masticpond_entry_" + names.group(1), labels);
            }
        }
        return listed;
    }

    private static RequestRecord answered(String route, long afterMillis) {
        RequestRecord request = routed(route);
        request.answered(200, millis(afterMillis));
        return request;
    }

    private static RequestRecord routed(String route) {
        RequestRecord request = new RequestRecord("r", 0);
        request.routed(new RouteId(route), new ServiceId("cart"), 400, millis(1_000));
        request.kind(RouteKind.IDEMPOTENT);
        return request;
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Store of which only deletions succeed. */
    private static final class FailingFeed implements StoreFeed {

        @Override
        public void list(
                Category category,
                Duration timeout,
                Consumer<Either<FeedError, FeedResult>> result) {
            result.accept(Either.left(FeedError.UNREACHABLE));
        }

        @Override
        public Runnable watch(
                Category category,
                long afterRevision,
                Duration wait,
                Consumer<Either<FeedError, FeedResult>> result) {
            return () -> {};
        }

        @Override
        public void put(
                Category category,
                String name,
                JsonNode content,
                Consumer<Either<FeedError, Void>> result) {
            result.accept(Either.left(FeedError.CONFLICT));
        }

        @Override
        public void delete(
                Category category, String name, Consumer<Either<FeedError, Void>> result) {
            result.accept(Either.right(null));
        }
    }
}
