package io.masticpond.measure.operation;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.util.List;

/**
 * {@link Measure} that sends requests with unique bodies under faults and checks that each answer
 * is whole and belongs to its request.
 *
 * @since 0.1
 */
public final class AnswersMeasure implements Measure {

    private static final int BACKEND_REQUESTS = 25_000;
    private static final int INSTANCE_REQUESTS = 25_000;

    @Override
    public String name() {
        return "answers";
    }

    @Override
    public String explanation() {
        return "50,000 requests with unique bodies: 25,000 by the daemon's client of backend"
                + " servers, 400 at a time, to stand-ins of which an eighth answers after the"
                + " deadline and which reset, refuse, truncate and fail 2 % each; and 25,000 over"
                + " the links between two instances, 1,000 at a time, answered out of order, some"
                + " too late, while the connections are broken every 400 ms. An answer counts as"
                + " mismatched if it is not the one to its request, and as truncated if a part of"
                + " it was taken for the whole.";
    }

    @Override
    public MeasureReport run(long seed) {
        try (MeasuredFleet fleet = new MeasuredFleet(seed, 0)) {
            AnswerCounters backends =
                    new BackendAnswerRun(fleet.backends(), fleet.servers(), seed)
                            .run(BACKEND_REQUESTS);
            LinkAnswerRun links = new LinkAnswerRun(seed);
            AnswerCounters instances = links.run(INSTANCE_REQUESTS);
            return report(backends, instances, links.resets());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("The measure was interrupted.", e);
        }
    }

    private static MeasureReport report(
            AnswerCounters backends, AnswerCounters instances, int resets) {
        long requests = backends.requests() + instances.requests();
        return new MeasureReport()
                .table(
                        new MeasureTable(
                                "Answers to requests with unique bodies",
                                List.of(
                                        "where",
                                        "requests",
                                        "whole",
                                        "failed",
                                        "connections broken"),
                                List.of(
                                        row("backend servers", backends, "by 2 % of requests"),
                                        row("instances", instances, resets + " times"))))
                .figure("requests", (double) requests, MeasureTarget.atLeast(50_000))
                .figure(
                        "mismatched",
                        sum(backends.mMismatched.sum(), instances.mMismatched.sum()),
                        MeasureTarget.atMost(0))
                .figure(
                        "truncatedAsWhole",
                        sum(backends.mTruncatedAsWhole.sum(), instances.mTruncatedAsWhole.sum()),
                        MeasureTarget.atMost(0))
                .figure("wholeShareBackendServers", share(backends))
                .figure("wholeShareInstances", share(instances));
    }

    private static double sum(long first, long second) {
        return (double) (first + second);
    }

    private static double share(AnswerCounters counters) {
        return (double) counters.mWhole.sum() / counters.requests();
    }

    private static List<String> row(String where, AnswerCounters counters, String broken) {
        return List.of(
                where,
                Long.toString(counters.requests()),
                Long.toString(counters.mWhole.sum()),
                Long.toString(counters.mFailed.sum()),
                broken);
    }
}
