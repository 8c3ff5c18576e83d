package io.masticpond.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.time.ManualTimeSource;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

class DaemonMetricsTest {

    /** Maximum size of the scrape of one daemon, regardless of what callers and operators do. */
    private static final int MAXIMUM_SCRAPE_BYTES = 600_000;

    private static final RegionId PERTH = new RegionId("perth");

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T06:00:00Z"));
    private final DaemonMetrics mMetrics = new DaemonMetrics(mTime);

    @Example
    void unknownServicesDoNotUseUpLabelBudget() throws IOException {
        allow(List.of("perth"), List.of());
        for (int service = 0; service < 10_000; service++) {
            mMetrics.requests().recordLookup(new ServiceId("made-up-" + service));
        }
        assertThat(scrape()).contains("masticpond_lookups_total{service=\"other\"} 10000.0");
    }

    @Example
    void namesBeyondBudgetAreReplacedWithOther() {
        LabelBudget budget = new LabelBudget(2);
        budget.allow(List.of("c", "b", "a"));
        budget.allow(List.of("d"));
        assertThat(List.of(budget.value("a"), budget.value("b"), budget.value("c")))
                .containsExactly("a", "b", LabelBudget.OTHER);
        assertThat(budget.value("d")).isEqualTo(LabelBudget.OTHER);
    }

    @Example
    void scrapeSizeIsBoundedWithAllLabelsInUse() throws IOException {
        allow(names("region-", 100), names("service-", 200));
        for (int service = 0; service < 200; service++) {
            recordAll(new ServiceId("service-" + service));
        }
        assertThat(scrape().length()).isLessThan(MAXIMUM_SCRAPE_BYTES);
    }

    @Example
    void removedHeadroomIsNoLongerExposed() throws IOException {
        allow(List.of("perth"), List.of());
        ServiceId booking = new ServiceId("booking");
        Headroom headroom = new Headroom(36, 27, 2, Long.MAX_VALUE, DegradationStep.STALE);
        mMetrics.capacity().updateHeadroom(booking, PERTH, headroom);
        assertThat(scrape())
                .contains("masticpond_slot_use_ratio{region=\"perth\",service=\"other\"} 0.75")
                .contains("masticpond_degradation_step{region=\"perth\",service=\"other\"} 2.0")
                .contains(
                        "masticpond_expected_wait_seconds{region=\"perth\",service=\"other\"}"
                                + " +Inf");
        mMetrics.capacity().remove(booking, PERTH);
        assertThat(scrape()).doesNotContain("masticpond_slot_use_ratio{");
    }

    @Example
    void configurationAgeIgnoresWallClockSteps() throws IOException {
        mTime.advance(Duration.ofSeconds(90));
        mTime.stepWallClock(Duration.ofDays(3));
        assertThat(scrape()).contains("masticpond_configuration_age_seconds 90.0");
        mMetrics.configuration().recordCheck();
        assertThat(scrape()).contains("masticpond_configuration_age_seconds 0.0");
    }

    @Example
    void processorTimeOfTerminatedThreadsIsKept() throws InterruptedException {
        ThreadCpuMeter meter = new ThreadCpuMeter();
        Thread worker = new Thread(() -> spin(Duration.ofMillis(30)), "heartbeats");
        worker.start();
        worker.join(20);
        long before = meter.measure().get(ThreadRole.CONTROL);
        worker.join();
        assertThat(meter.measure().get(ThreadRole.CONTROL)).isGreaterThanOrEqualTo(before);
        assertThat(ThreadRole.ofThread("steering")).isEqualTo(ThreadRole.REQUEST);
        assertThat(ThreadRole.ofThread("membership")).isEqualTo(ThreadRole.CONTROL);
    }

    private void recordAll(ServiceId service) {
        RequestMetrics requests = mMetrics.requests();
        requests.recordLookup(service);
        requests.recordAnswer(service, 1_000_000);
        requests.recordAttemptAnswer(service, 1_000_000);
        requests.recordQueueWait(service, 1_000_000);
        for (RefusalCause cause : RefusalCause.values()) {
            requests.recordRefusal(service, Refusal.didNotRun(cause, "A test."));
            requests.recordRefusal(service, Refusal.mayHaveRun(cause, "A test."));
        }
        for (AttemptKind kind : AttemptKind.values()) {
            requests.recordFurtherAttempt(service, kind);
        }
        for (int region = 0; region < 100; region++) {
            mMetrics.capacity()
                    .updateHeadroom(service, new RegionId("region-" + region), Headroom.NONE);
        }
        mMetrics.spending().updateLedger(service, 1, 1, 1);
        mMetrics.spending().updateHeld(service, 1);
        mMetrics.spending().recordCharge(service, 1);
    }

    private void allow(List<String> regionNames, List<String> serviceNames) {
        List<RegionSpecification> regions =
                regionNames.stream().map(DaemonMetricsTest::region).toList();
        List<ServiceSpecification> services =
                serviceNames.stream().map(DaemonMetricsTest::service).toList();
        mMetrics.allowNamesOf(
                new ConfigurationContent(regions, List.of(), services, List.of(), List.of()));
    }

    private static RegionSpecification region(String name) {
        return new RegionSpecification(new RegionId(name), List.of(new ZoneId(name + "-a")));
    }

    private static ServiceSpecification service(String name) {
        return new ServiceSpecification(
                new ServiceId(name), 1_000, null, null, null, Optional.empty());
    }

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(number -> prefix + number).toList();
    }

    private String scrape() throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(text, mMetrics.registry().scrape());
        return text.toString(StandardCharsets.UTF_8);
    }

    private static void spin(Duration duration) {
        long end = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }
}
