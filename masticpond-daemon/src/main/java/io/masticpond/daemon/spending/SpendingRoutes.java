package io.masticpond.daemon.spending;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.operator.OperatorRoutes;

/**
 * The route that shows the spending of the shifts that run now.
 *
 * @since 0.1
 */
public final class SpendingRoutes implements OperatorRoutes {

    private final SpendingService mSpending;
    private final TimeSource mTimeSource;
    private final ObjectMapper mMapper = new ObjectMapper();

    /**
     * Makes the route.
     *
     * @param spending knows the accounts of this instance
     * @param timeSource the clocks
     */
    public SpendingRoutes(SpendingService spending, TimeSource timeSource) {
        mSpending = Assert.notNull(spending, "A spending duty");
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
