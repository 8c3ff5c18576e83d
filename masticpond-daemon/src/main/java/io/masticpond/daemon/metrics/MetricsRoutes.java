package io.masticpond.daemon.metrics;

import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.operator.OperatorRoutes;
import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.ExpositionFormats;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Operator route for {@code /metrics}, which returns the metrics in the format that the scraper
 * requests.
 *
 * @since 0.1
 */
public final class MetricsRoutes implements OperatorRoutes {

    private final DaemonMetrics mMetrics;
    private final Runnable mRefresh;
    private final ExpositionFormats mFormats = ExpositionFormats.init();

    /**
     * Creates a new route.
     *
     * @param metrics the metrics to expose
     * @param refresh the action to run before each scrape, on a thread of the server; must not
     *     block
     */
    public MetricsRoutes(DaemonMetrics metrics, Runnable refresh) {
        mRefresh = Assert.notNull(refresh, "A refresh action");
        mMetrics = Assert.notNull(metrics, "Metrics");
    }

    @Override
    public void addTo(JavalinConfig config) {
        config.routes.get("/metrics", this::scrape);
    }

    private void scrape(Context context) {
        mRefresh.run();
        ExpositionFormatWriter writer = mFormats.findWriter(context.header("Accept"));
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            writer.write(text, mMetrics.registry().scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("The metrics could not be written.", e);
        }
        context.contentType(writer.getContentType()).result(text.toByteArray());
    }
}
