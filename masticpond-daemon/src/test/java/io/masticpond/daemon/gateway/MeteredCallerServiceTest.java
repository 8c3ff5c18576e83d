package io.masticpond.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.javalin.Javalin;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.daemon.caller.CallerService;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.metrics.MetricsRoutes;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Tests that {@link MeteredCallerService} records refusals and answers. */
class MeteredCallerServiceTest {

    /**
     * HTTP client whose long timeouts only bound a hang, since the scrape may be slow on a busy
     * machine.
     */
    private static final OkHttpClient sHttpClient =
            new OkHttpClient.Builder()
                    .connectTimeout(Duration.ofSeconds(60))
                    .readTimeout(Duration.ofSeconds(60))
                    .build();

    private static final ServiceId BOOKING = new ServiceId("booking");

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T06:00:00Z"));
    private final DaemonMetrics mMetrics = new DaemonMetrics(mTime);
    private final FakeCallerService mDelegate = new FakeCallerService();
    private final CallerService mService =
            new MeteredCallerService(mDelegate, mMetrics.requests(), mTime);

    @Example
    void refusalIsCountedByCauseAndNotAsAnswer() throws IOException {
        submit();
        mTime.stepWallClock(Duration.ofDays(-2));
        mDelegate.complete(
                new RequestCompletion.Refused(
                        Refusal.mayHaveRun(RefusalCause.INSTANCE_LOST, "Lost.")));
        submit();
        mTime.advance(Duration.ofMillis(30));
        mTime.stepWallClock(Duration.ofDays(5));
        mDelegate.complete(new RequestCompletion.Answered(200, List.of(), new byte[0], "bk-1"));
        assertThat(scrape())
                .contains(
                        "masticpond_refusals_total{cause=\"instance-lost\",service=\"booking\","
                                + "verdict=\"may-have-run\"} 1.0")
                .contains("masticpond_request_seconds_count{service=\"booking\"} 1")
                .contains("masticpond_request_seconds_sum{service=\"booking\"} 0.03");
    }

    private void submit() {
        mMetrics.allowNamesOf(
                new ConfigurationContent(
                        null,
                        null,
                        List.of(
                                new ServiceSpecification(
                                        BOOKING, 1_000, null, null, null, Optional.empty())),
                        null,
                        null));
        RequestHead head =
                new RequestHead(new RequestId("r1"), BOOKING, 1, 0, OperationKind.UNKNOWN);
        SteeredRequest request =
                new SteeredRequest(
                        head,
                        Optional.empty(),
                        "GET",
                        "/",
                        List.of(),
                        new byte[0],
                        Optional.empty());
        mService.submit(
                request,
                new CallerService.OperationKeys(Optional.empty(), Optional.empty(), false),
                completion -> {});
    }

    private String scrape() throws IOException {
        MetricsRoutes routes = new MetricsRoutes(mMetrics, () -> {});
        Javalin server = Javalin.create(routes::addTo).start("127.0.0.1", 0);
        Request request =
                new Request.Builder().url("http://127.0.0.1:" + server.port() + "/metrics").build();
        try (Response response = sHttpClient.newCall(request).execute()) {
            return response.body().string();
        } finally {
            server.stop();
        }
    }

    /** Stand-in that holds the listeners until the test completes their requests. */
    private static final class FakeCallerService implements CallerService {

        private final Queue<Consumer<RequestCompletion>> mListeners = new ArrayDeque<>();

        void complete(RequestCompletion completion) {
            mListeners.remove().accept(completion);
        }

        @Override
        public Configuration configuration() {
            return Configuration.EMPTY;
        }

        @Override
        public Optional<String> unreadyReason() {
            return Optional.empty();
        }

        @Override
        public LookupDecision lookup(ServiceId service, String clientAddress, long seenVersion) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<String> operationKey(ServiceId service) {
            return Optional.empty();
        }

        @Override
        public void submit(
                SteeredRequest request, OperationKeys keys, Consumer<RequestCompletion> listener) {
            mListeners.add(listener);
        }

        @Override
        public void cancel(RequestId request) {}
    }
}
