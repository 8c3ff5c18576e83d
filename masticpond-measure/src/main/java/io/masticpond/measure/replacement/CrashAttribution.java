package io.masticpond.measure.replacement;

import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.fleet.CompletedRequest;
import io.masticpond.measure.fleet.FleetInstance;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Attribution of unanswered requests of a crash storm to the killed processes, with the outcomes of
 * all other requests.
 *
 * <p>Two kinds of requests cannot be answered: requests with a caller's own operation key while the
 * platform is unavailable, because only the platform can determine that no other instance has
 * claimed the key; and requests that were under way while processes were killed, which may be lost
 * with a killed instance.
 */
final class CrashAttribution {

    private static final double NANOS_PER_SECOND = 1e9;

    private final List<FleetInstance> mInstances;
    private final List<FleetInstance> mKilledInstances;
    private final List<CompletedRequest> mRequests;
    private final long mKillNanos;
    private final long mTerminatedNanos;

    /**
     * Creates an attribution.
     *
     * @param instances the instances
     * @param killedInstances the instances that were killed
     * @param requests all requests of the storm
     * @param killNanos the time at which the first process was killed, on the requests' clock
     * @param terminatedNanos the time at which the last process had terminated, on the same clock
     */
    CrashAttribution(
            List<FleetInstance> instances,
            List<FleetInstance> killedInstances,
            List<CompletedRequest> requests,
            long killNanos,
            long terminatedNanos) {
        mInstances = List.copyOf(instances);
        mKilledInstances = List.copyOf(killedInstances);
        mRequests = List.copyOf(requests);
        mKillNanos = killNanos;
        mTerminatedNanos = terminatedNanos;
    }

    /** Returns the number of requests that ended after the kill and need the platform. */
    long needPlatform() {
        return endedAfterKill().stream().filter(CompletedRequest::callerKey).count();
    }

    /**
     * Returns the number of requests that were under way at the kill and do not need the platform.
     */
    long underWay() {
        return endedAfterKill().stream()
                .filter(each -> !each.callerKey() && each.startNanos() - mTerminatedNanos < 0)
                .count();
    }

    /** Returns the number of requests that could have been answered but were not. */
    long avoidable() {
        return mRequests.stream()
                .filter(each -> !each.isAnswered() && !isAttributedToKill(each))
                .count();
    }

    /** Returns the table of unanswered requests, by outcome, service and instance. */
    MeasureTable causes() {
        Map<List<String>, List<Double>> groups =
                mRequests.stream()
                        .filter(each -> !each.isAnswered())
                        .collect(
                                Collectors.groupingBy(
                                        each -> cause(each),
                                        () -> new TreeMap<>(Comparator.comparing(List::toString)),
                                        Collectors.mapping(
                                                each -> seconds(each), Collectors.toList())));
        List<List<String>> rows = new ArrayList<>();
        groups.forEach(
                (group, times) -> {
                    List<String> row = new ArrayList<>(group);
                    row.add(text(times.stream().min(Double::compare).orElseThrow()));
                    row.add(text(times.stream().max(Double::compare).orElseThrow()));
                    row.add(Integer.toString(times.size()));
                    rows.add(row);
                });
        return new MeasureTable(
                "Not answered",
                List.of(
                        "verdict and cause",
                        "service",
                        "taken by the kill",
                        "instance asked",
                        "first, s after the kill",
                        "last, s after the kill",
                        "count"),
                rows);
    }

    /** Returns the table of requests that ended in each second. */
    MeasureTable seconds() {
        Map<Long, List<CompletedRequest>> groups =
                mRequests.stream()
                        .collect(
                                Collectors.groupingBy(
                                        each ->
                                                Math.floorDiv(
                                                        each.endNanos() - mKillNanos,
                                                        TimeUnit.SECONDS.toNanos(1)),
                                        TreeMap::new,
                                        Collectors.toList()));
        List<List<String>> rows = new ArrayList<>();
        groups.forEach(
                (second, requests) -> {
                    long answered = requests.stream().filter(CompletedRequest::isAnswered).count();
                    long attributedToKill =
                            requests.stream()
                                    .filter(each -> !each.isAnswered() && isAttributedToKill(each))
                                    .count();
                    rows.add(
                            List.of(
                                    Long.toString(second),
                                    Integer.toString(requests.size()),
                                    Long.toString(answered),
                                    Long.toString(attributedToKill),
                                    Long.toString(requests.size() - answered - attributedToKill)));
                });
        return new MeasureTable(
                "Requests of each second",
                List.of("s after the kill", "ended", "answered", "taken by the kill", "avoidable"),
                rows);
    }

    private List<CompletedRequest> endedAfterKill() {
        return mRequests.stream().filter(each -> each.endNanos() - mKillNanos >= 0).toList();
    }

    private boolean isAttributedToKill(CompletedRequest request) {
        boolean endedAfterKill = request.endNanos() - mKillNanos >= 0;
        return endedAfterKill
                && (request.callerKey() || request.startNanos() - mTerminatedNanos < 0);
    }

    private List<String> cause(CompletedRequest request) {
        return List.of(
                request.outcome(),
                request.service(),
                isAttributedToKill(request) ? "yes" : "no",
                instance(request.address()));
    }

    private String instance(String address) {
        return mInstances.stream()
                .filter(each -> each.callerAddress().equals(address))
                .findFirst()
                .map(each -> each.id() + (mKilledInstances.contains(each) ? " (killed)" : ""))
                .orElse("none");
    }

    private double seconds(CompletedRequest request) {
        return (request.endNanos() - mKillNanos) / NANOS_PER_SECOND;
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
