package io.masticpond.daemon.timeline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.BadRequestResponse;
import io.javalin.http.Context;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.support.Assert;
import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.HybridTime;
import io.masticpond.core.timeline.TimelineQuery;
import io.masticpond.core.timeline.TimelineRing;
import io.masticpond.daemon.operator.OperatorRoutes;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Operator route {@code /v1/timeline}, which returns the timeline of this process.
 *
 * <p>{@code sinceMillis} is relative to the clock of this process, not to the operator's, so that
 * an instance whose wall clock is wrong still returns its newest events.
 *
 * @since 0.1
 */
public final class TimelineRoutes implements OperatorRoutes {

    private static final String SINCE = "sinceMillis";
    private static final String SERVICE = "service";
    private static final String REQUEST = "request";
    private static final String LIMIT = "limit";
    private static final Set<String> PARAMETERS = Set.of(SINCE, SERVICE, REQUEST, LIMIT);
    private static final long DEFAULT_LIMIT = 1_000;
    private static final long MAXIMUM_LIMIT = 10_000;

    private final Incarnation mIncarnation;
    private final HybridLogicalClock mClock;
    private final TimelineRing mRing;
    private final ObjectMapper mMapper = new ObjectMapper();

    /**
     * Creates the route.
     *
     * @param incarnation the incarnation of this instance
     * @param clock the clock that time-stamps the events
     * @param ring the ring buffer of events
     */
    public TimelineRoutes(Incarnation incarnation, HybridLogicalClock clock, TimelineRing ring) {
        mIncarnation = Assert.notNull(incarnation, "An incarnation");
        mClock = Assert.notNull(clock, "A clock");
        mRing = Assert.notNull(ring, "A ring");
    }

    @Override
    public void addTo(JavalinConfig config) {
        config.routes.get("/v1/timeline", this::show);
    }

    private void show(Context context) throws JsonProcessingException {
        rejectUnknownParameters(context);
        HybridTime now = mClock.now();
        TimelineQuery query =
                new TimelineQuery(
                        since(context, now),
                        text(context, SERVICE),
                        text(context, REQUEST),
                        (int)
                                number(context, LIMIT, 1, MAXIMUM_LIMIT)
                                        .orElse(DEFAULT_LIMIT)
                                        .longValue());
        TimelineAnswer answer =
                TimelineAnswer.of(mIncarnation, now, mRing.overwritten(), mRing.find(query));
        context.contentType("application/json").result(mMapper.writeValueAsBytes(answer));
    }

    private static HybridTime since(Context context, HybridTime now) {
        return number(context, SINCE, 0, Long.MAX_VALUE)
                .map(ageMillis -> HybridTime.of(Math.max(0, now.wallMillis() - ageMillis), 0))
                .orElse(HybridTime.ZERO);
    }

    private static Optional<String> text(Context context, String name) {
        return Optional.ofNullable(context.queryParam(name)).filter(text -> !text.isEmpty());
    }

    private static Optional<Long> number(Context context, String name, long min, long max) {
        Optional<String> text = text(context, name);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            long number = Long.parseLong(text.get());
            if (number >= min && number <= max) {
                return Optional.of(number);
            }
        } catch (NumberFormatException e) {
            throw outOfRange(name, min, max);
        }
        throw outOfRange(name, min, max);
    }

    private static BadRequestResponse outOfRange(String name, long min, long max) {
        return new BadRequestResponse(
                "The parameter %s must be a whole number from %d to %d.".formatted(name, min, max));
    }

    private static void rejectUnknownParameters(Context context) {
        Set<String> unknown = new TreeSet<>(context.queryParamMap().keySet());
        unknown.removeAll(PARAMETERS);
        if (!unknown.isEmpty()) {
            throw new BadRequestResponse(
                    "The parameters of the time line are %s; unknown: %s."
                            .formatted(new TreeSet<>(PARAMETERS), unknown));
        }
    }
}
