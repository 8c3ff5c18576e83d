package io.masticpond.daemon.spending;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.operator.OperatorRoutes;

/**
 * Operator route that returns the spending of the current shifts.
 *
 * @since 0.1
 */
public final class SpendingRoutes implements OperatorRoutes {

    private final SpendingService mSpending;
    private final TimeSource mTimeSource;
    private final ObjectMapper mMapper = new ObjectMapper();

    /**
     * Creates the route.
     *
     * @param spending provides the accounts of this instance
     * @param timeSource the source of the current time
     */
    public SpendingRoutes(SpendingService spending, TimeSource timeSource) {
        mSpending = Assert.notNull(spending, "A spending service");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    @Override
    public void addTo(JavalinConfig config) {
        config.routes.get("/v1/spending", this::show);
    }

    private void show(Context context) throws JsonProcessingException {
        SpendingAnswer answer = SpendingAnswer.of(mSpending.views(), mTimeSource.instant());
        context.contentType("application/json").result(mMapper.writeValueAsBytes(answer));
    }
}
