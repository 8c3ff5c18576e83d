package io.masticpond.measure.replacement;

import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.fleet.EndedRequest;
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
 * Tells which requests of a storm what was killed took with it, and how the others ended.
 *
 * <p>Two kinds cannot be answered: requests with a caller's own operation key while the platform is
 * away, because only the platform can tell that no other instance has claimed the key; and requests
 * that were under way while processes were killed, which a killed instance may have taken with it.
 */
final class CrashAttribution {

    private static final double NANOS_PER_SECOND = 1e9;

    private final List<FleetInstance> mInstances;
    private final List<FleetInstance> mVictims;
    private final List<EndedRequest> mRequests;
    private final long mKillNanos;
    private final long mDeadNanos;

    /**
     * Makes a trace.
     *
     * @param instances the instances
     * @param victims those that were killed
     * @param requests all requests of the storm
     * @param killNanos when the first process was killed, on the requests' clock
     * @param deadNanos when the last had ended, on the same clock
     */
    CrashAttribution(
            List<FleetInstance> instances,
            List<FleetInstance> victims,
            List<EndedRequest> requests,
            long killNanos,
            long deadNanos) {
        mInstances = List.copyOf(instances);
        mVictims = List.copyOf(victims);
        mRequests = List.copyOf(requests);
        mKillNanos = killNanos;
        mDeadNanos = deadNanos;
    }

    /** Counts the requests that ended after the kill and need the platform. */
    long needPlatform() {
        return after().stream().filter(EndedRequest::ownKey).count();
    }

    /** Counts the requests that were under way at the kill and do not need the platform. */
    long underWay() {
        return after().stream()
                .filter(each -> !each.ownKey() && each.startNanos() - mDeadNanos < 0)
                .count();
    }

    /** Counts the requests that could have been answered, and were not. */
    long avoidable() {
        return mRequests.stream().filter(each -> !each.isAnswered() && !isTaken(each)).count();
    }

    /** Lists what was not answered, by how it ended and where. */
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

    /** Lists the requests of each second. */
    MeasureTable seconds() {
        Map<Long, List<EndedRequest>> groups =
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
                    long answered = requests.stream().filter(EndedRequest::isAnswered).count();
                    long taken =
                            requests.stream()
                                    .filter(each -> !each.isAnswered() && isTaken(each))
                                    .count();
                    rows.add(
                            List.of(
                                    Long.toString(second),
                                    Integer.toString(requests.size()),
                                    Long.toString(answered),
                                    Long.toString(taken),
                                    Long.toString(requests.size() - answered - taken)));
                });
        return new MeasureTable(
                "Requests of each second",
                List.of("s after the kill", "ended", "answered", "taken by the kill", "avoidable"),
                rows);
    }

    private List<EndedRequest> after() {
        return mRequests.stream().filter(each -> each.endNanos() - mKillNanos >= 0).toList();
    }

    private boolean isTaken(EndedRequest request) {
        boolean after = request.endNanos() - mKillNanos >= 0;
        return after && (request.ownKey() || request.startNanos() - mDeadNanos < 0);
    }

    private List<String> cause(EndedRequest request) {
        return List.of(
                request.end(),
                request.service(),
                isTaken(request) ? "yes" : "no",
                instance(request.address()));
    }

    private String instance(String address) {
        return mInstances.stream()
                .filter(each -> each.callerAddress().equals(address))
                .findFirst()
                .map(each -> each.id() + (mVictims.contains(each) ? " (killed)" : ""))
                .orElse("none");
    }

    private double seconds(EndedRequest request) {
        return (request.endNanos() - mKillNanos) / NANOS_PER_SECOND;
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
