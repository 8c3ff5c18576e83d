package io.masticpond.daemon.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.LoggerContext;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.TimelinePart;
import io.masticpond.core.timeline.TimelineRing;
import io.masticpond.daemon.logging.Logging;
import io.masticpond.daemon.logging.LoggingRoutes;
import io.masticpond.daemon.logging.LoggingSettings;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.metrics.MetricsRoutes;
import io.masticpond.daemon.operator.OperatorRoutes;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

class ObservationRoutesTest {

    private static final Instant START = Instant.parse("2026-12-02T06:00:00Z");
    private static final InstanceId INSTANCE = new InstanceId("casa-a-1");

    private final ManualTimeSource mTime = new ManualTimeSource(START);
    private final HybridLogicalClock mClock = new HybridLogicalClock(mTime);
    private final TimelineRing mRing = new TimelineRing(INSTANCE, mClock, 16);
    private final Logging mLogging =
            Logging.start(
                    new LoggerContext(), LoggingSettings.DEFAULT, OutputStream.nullOutputStream());
    private final OkHttpClient mClient = new OkHttpClient();
    private Javalin mServer;

    @BeforeTry
    void startServer() {
        DaemonMetrics metrics = new DaemonMetrics(mTime);
        metrics.control().watchTimeline(mClock, mRing);
        List<OperatorRoutes> routes =
                List.of(
                        new TimelineRoutes(new Incarnation(INSTANCE, 7), mClock, mRing),
                        new MetricsRoutes(metrics, () -> metrics.control().updatePeerCount(8)),
                        new LoggingRoutes(mLogging));
        mServer = Javalin.create(config -> routes.forEach(each -> each.addTo(config)));
        mServer.start("127.0.0.1", 0);
    }

    @AfterTry
    void stopServer() {
        mServer.stop();
        mLogging.close();
    }

    @Example
    void sinceMillisIsRelativeToTheClockOfTheInstance() throws IOException {
        mRing.record(TimelinePart.CONFIG, "version-in-force", "", "41", "");
        mTime.advance(Duration.ofMinutes(10));
        mTime.stepWallClock(Duration.ofDays(-1));
        mRing.record(TimelinePart.ADMIT, "request-refused", "booking", "r1", "no-capacity");
        JsonNode answer = json(get("/v1/timeline?sinceMillis=300000"));
        assertThat(answer.path("instance").asText()).isEqualTo("casa-a-1");
        assertThat(answer.path("incarnation").asLong()).isEqualTo(7);
        assertThat(answer.path("events").findValuesAsText("event")).contains("request-refused");
    }

    @Example
    void timelineFiltersByServiceAndRequest() throws IOException {
        mRing.record(TimelinePart.ADMIT, "dispatched", "booking", "r1", "");
        mRing.record(TimelinePart.ADMIT, "dispatched", "booking", "r2", "");
        mRing.record(TimelinePart.ADMIT, "dispatched", "billing", "r3", "");
        JsonNode answer = json(get("/v1/timeline?service=booking&request=r2&limit=5"));
        assertThat(answer.path("events").findValuesAsText("object")).containsExactly("r2");
    }

    @Example
    void errorNamesTheBadParameter() throws IOException {
        for (String query :
                List.of("limit=0", "limit=x", "limit=10001", "sinceMillis=-1", "servise=a")) {
            try (Response response = get("/v1/timeline?" + query)) {
                assertThat(response.code()).isEqualTo(400);
                assertThat(response.body().string()).contains(query.split("=", 2)[0]);
            }
        }
    }

    @Example
    void acceptsMaximumSinceMillis() throws IOException {
        mRing.record(TimelinePart.ADMIT, "dispatched", "booking", "r1", "");
        JsonNode answer = json(get("/v1/timeline?sinceMillis=" + Long.MAX_VALUE));
        assertThat(answer.path("events")).hasSize(1);
    }

    @Example
    void metricsAreShownAsText() throws IOException {
        try (Response response = get("/metrics")) {
            assertThat(response.header("Content-Type")).startsWith("text/plain");
            assertThat(response.body().string())
                    .contains("masticpond_configuration_version 0")
                    .contains("masticpond_peers 8.0")
                    .contains("masticpond_timeline_overwritten_total 0")
                    .contains("masticpond_cpu_seconds_total{role=\"control\"}");
        }
    }

    @Example
    void onlyWellFormedBodiesChangeTheLevel() throws IOException {
        assertThat(put("{\"level\":\"debug\"}")).isEqualTo(200);
        assertThat(mLogging.levels()).containsEntry(Logging.OWN_LOGGER, "DEBUG");
        for (String body :
                List.of("", "[]", "{}", "{\"level\":\"loud\"}", "{\"level\":\"info\",\"x\":1}")) {
            assertThat(put(body)).as(body).isEqualTo(400);
        }
        assertThat(put("{\"level\":\"info\",\"logger\":\"no.such\"}")).isEqualTo(404);
        assertThat(mLogging.levels()).containsEntry(Logging.OWN_LOGGER, "DEBUG");
    }

    private Response get(String path) throws IOException {
        return mClient.newCall(new Request.Builder().url(url(path)).build()).execute();
    }

    private int put(String body) throws IOException {
        RequestBody json = RequestBody.create(body, MediaType.get("application/json"));
        Request request = new Request.Builder().url(url("/v1/logging")).put(json).build();
        try (Response response = mClient.newCall(request).execute()) {
            return response.code();
        }
    }

    private String url(String path) {
        return "http://127.0.0.1:" + mServer.port() + path;
    }

    private static JsonNode json(Response response) throws IOException {
        try (response) {
            assertThat(response.code()).isEqualTo(200);
            return new ObjectMapper().readTree(response.body().string());
        }
    }
}
