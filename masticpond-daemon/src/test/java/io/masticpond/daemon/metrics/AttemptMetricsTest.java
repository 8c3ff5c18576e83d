package io.masticpond.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.admission.AdmissionSettings;
import io.masticpond.core.admission.AdmissionSink;
import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.admission.DefaultAdmission;
import io.masticpond.core.admission.SlotShare;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.steering.BackendDispatcher;
import io.masticpond.daemon.steering.BackendDispatcher.AttemptResult;
import io.masticpond.daemon.steering.MeteredAdmission;
import io.masticpond.daemon.steering.MeteredDispatcher;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/** Tests that queue waits and answers of backend servers are exposed as metrics. */
class AttemptMetricsTest {

    private static final ServiceId BOOKING = new ServiceId("booking");
    private static final Shard SHARD = new Shard(BOOKING, new RegionId("perth"), 0);
    private static final BackendServerSpecification SERVER =
            new BackendServerSpecification(
                    new BackendServerId("bk-1"),
                    new ZoneId("perth-a"),
                    "127.0.0.1:9000",
                    1,
                    1,
                    false);

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T06:00:00Z"));
    private final DaemonMetrics mMetrics = new DaemonMetrics(mTime);
    private final List<RequestId> mDispatched = new ArrayList<>();
    private final AdmissionSink mSink =
            new AdmissionSink() {
                @Override
                public void dispatch(RequestHead request, BackendServerId server) {
                    mDispatched.add(request.id());
                }

                @Override
                public void refuse(RequestHead request, Refusal refusal) {}
            };

    AttemptMetricsTest() {
        mMetrics.allowNamesOf(
                new ConfigurationContent(
                        null,
                        null,
                        List.of(
                                new ServiceSpecification(
                                        BOOKING, 1_000, null, null, null, Optional.empty())),
                        null,
                        null));
    }

    @Example
    void queueWaitIsMeasuredForDispatchedButNotForCancelledRequests() throws IOException {
        MeteredAdmission admission =
                new MeteredAdmission(
                        sink ->
                                new DefaultAdmission(
                                        SHARD,
                                        AdmissionSettings.DEFAULT,
                                        mTime,
                                        sink,
                                        Timeline.NONE),
                        mSink,
                        mMetrics.requests(),
                        mTime);
        admission.configure(List.of(SERVER), SlotShare.whole(new InstanceId("self")));
        admission.offer(head("first"));
        admission.offer(head("second"));
        admission.offer(head("third"));
        mTime.advance(Duration.ofMillis(40));
        assertThat(admission.cancel(new RequestId("third"))).isTrue();
        admission.complete(new RequestId("first"), AttemptOutcome.ANSWERED);
        admission.advance();
        assertThat(mDispatched).containsExactly(new RequestId("first"), new RequestId("second"));
        assertThat(scrape())
                .contains("masticpond_queue_wait_seconds_count{service=\"booking\"} 2")
                .contains("masticpond_queue_wait_seconds_sum{service=\"booking\"} 0.04");
    }

    @Example
    void attemptTimeIsMeasuredForAnswersButNotForRefusals() throws IOException {
        List<Consumer<AttemptResult>> listeners = new ArrayList<>();
        List<AttemptResult> results = new ArrayList<>();
        BackendDispatcher dispatcher =
                new MeteredDispatcher(
                        (request, server, listener) -> {
                            listeners.add(listener);
                            return () -> {};
                        },
                        mMetrics.requests(),
                        mTime);
        SteeredRequest request =
                new SteeredRequest(
                        head("first"),
                        Optional.empty(),
                        "GET",
                        "/",
                        List.of(),
                        new byte[0],
                        Optional.empty());
        dispatcher.dispatch(request, SERVER, results::add);
        dispatcher.dispatch(request, SERVER, results::add);
        mTime.advance(Duration.ofMillis(30));
        AttemptResult answered =
                new AttemptResult(
                        AttemptOutcome.ANSWERED,
                        new RequestCompletion.Answered(200, List.of(), new byte[0], "bk-1"),
                        false);
        AttemptResult refused =
                new AttemptResult(
                        AttemptOutcome.SHED,
                        new RequestCompletion.Refused(
                                Refusal.didNotRun(RefusalCause.BACKEND_SHED, "Shed.")),
                        false);
        listeners.get(0).accept(answered);
        listeners.get(1).accept(refused);
        assertThat(results).containsExactly(answered, refused);
        assertThat(scrape())
                .contains("masticpond_attempt_seconds_count{service=\"booking\"} 1")
                .contains("masticpond_attempt_seconds_sum{service=\"booking\"} 0.03");
    }

    @Example
    void linkAndHeartbeatCountersAreExposed() throws IOException {
        mMetrics.control().watchLinks(() -> 7, () -> 5, () -> 3);
        mMetrics.control().watchHeartbeats(() -> 2);
        assertThat(scrape())
                .contains("masticpond_control_bytes_total{direction=\"sent\"} 7.0")
                .contains("masticpond_control_bytes_total{direction=\"received\"} 5.0")
                .contains("masticpond_late_answers_total 3.0")
                .contains("masticpond_heartbeats_rejected_total 2.0");
    }

    private RequestHead head(String id) {
        long deadlineNanos = mTime.monotonicNanos() + Duration.ofSeconds(10).toNanos();
        return new RequestHead(new RequestId(id), BOOKING, deadlineNanos, 5, OperationKind.READ);
    }

    private String scrape() throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(text, mMetrics.registry().scrape());
        return text.toString(StandardCharsets.UTF_8);
    }
}
