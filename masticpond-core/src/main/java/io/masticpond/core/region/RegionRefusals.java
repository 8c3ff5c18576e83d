package io.masticpond.core.region;

import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import java.time.Duration;
import java.util.List;

/** Factory for the refusals of requests that no region can take. */
final class RegionRefusals {

    private static final Duration MINIMUM_RETRY = Duration.ofMillis(100);
    private static final Duration MAXIMUM_RETRY = Duration.ofSeconds(10);

    /** Causes in the order of how soon they are likely to end. */
    private static final List<RefusalCause> ORDER =
            List.of(
                    RefusalCause.LINK_FULL,
                    RefusalCause.NO_CAPACITY,
                    RefusalCause.DEADLINE,
                    RefusalCause.NO_BACKEND_SERVER);

    private RegionRefusals() {}

    /**
     * Creates the refusal that explains why no region was chosen.
     *
     * @param options the evaluated regions, none of which is available; empty if all were tried
     * @param noServers whether the service has no backend servers
     * @return the refusal, with the verdict that the request did not run
     */
    static Refusal explain(List<RegionOption> options, boolean noServers) {
        if (noServers) {
            return Refusal.didNotRun(
                    RefusalCause.NO_BACKEND_SERVER, "The service has no backend servers.");
        }
        if (options.isEmpty()) {
            return Refusal.didNotRun(RefusalCause.NO_CAPACITY, "Every region refused the request.")
                    .retryAfter(MINIMUM_RETRY);
        }
        RegionOption foremost = options.get(0);
        long retryNanos = Long.MAX_VALUE;
        for (RegionOption option : options) {
            if (ORDER.indexOf(option.refusalCause()) < ORDER.indexOf(foremost.refusalCause())) {
                foremost = option;
            }
            if (option.retryNanos() > 0) {
                retryNanos = Math.min(retryNanos, option.retryNanos());
            }
        }
        return Refusal.didNotRun(foremost.refusalCause(), detail(foremost))
                .retryAfter(bounded(retryNanos));
    }

    private static String detail(RegionOption option) {
        String region = option.view().region().value();
        return switch (option.refusalCause()) {
            case LINK_FULL -> "The link to region " + region + " has no share left.";
            case DEADLINE -> "The deadline is too near for region " + region + ".";
            case NO_BACKEND_SERVER -> "No region of the service can be reached.";
            default -> "No region can take the request before its deadline.";
        };
    }

    private static Duration bounded(long nanos) {
        Duration duration = Duration.ofNanos(nanos);
        if (nanos == Long.MAX_VALUE || duration.compareTo(MINIMUM_RETRY) < 0) {
            return MINIMUM_RETRY;
        }
        return duration.compareTo(MAXIMUM_RETRY) > 0 ? MAXIMUM_RETRY : duration;
    }
}
