package io.masticpond.core.timeline;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CyclicBarrier;
import net.jqwik.api.Example;
import org.assertj.core.api.Assertions;

class TimelineRingTest {

    private static final Instant START = Instant.parse("2026-12-02T06:00:00Z");
    private static final int CAPACITY = 32;
    private static final int WRITERS = 8;
    private static final int EVENTS_PER_WRITER = 20_000;

    private final ManualTimeSource mTime = new ManualTimeSource(START);
    private final TimelineRing mRing =
            new TimelineRing(new InstanceId("casa-a-1"), new HybridLogicalClock(mTime), CAPACITY);

    @Example
    void manyEventsOfOnePartDoNotDisplaceEventsOfOthers() {
        mRing.record(TimelinePart.CONFIG, "version-in-force", "", "7", "");
        for (int event = 0; event < 10 * CAPACITY; event++) {
            mRing.record(TimelinePart.ADMIT, "request-refused", "runsheet", "r" + event, "");
        }
        List<TimelineEvent> events = mRing.find(TimelineQuery.all(1_000));
        Assertions.assertThat(events).hasSize(1 + CAPACITY);
        Assertions.assertThat(events.get(0).event()).isEqualTo("version-in-force");
        Assertions.assertThat(events.get(CAPACITY).object()).isEqualTo("r319");
        Assertions.assertThat(mRing.overwritten()).isEqualTo(9 * CAPACITY);
    }

    @Example
    void keepsNewestEventsInOrderWithConcurrentWriters() throws Exception {
        CyclicBarrier start = new CyclicBarrier(WRITERS);
        List<Thread> writers = new ArrayList<>();
        for (int writer = 0; writer < WRITERS; writer++) {
            writers.add(new Thread(() -> write(start)));
        }
        writers.forEach(Thread::start);
        for (Thread writer : writers) {
            writer.join();
        }
        List<TimelineEvent> events = mRing.find(TimelineQuery.all(1_000));
        Assertions.assertThat(events).hasSize(CAPACITY);
        Assertions.assertThat(events)
                .isSortedAccordingTo(Comparator.comparing(TimelineEvent::time));
        Assertions.assertThat(events).extracting(TimelineEvent::time).doesNotHaveDuplicates();
        Assertions.assertThat(mRing.overwritten())
                .isEqualTo((long) WRITERS * EVENTS_PER_WRITER - CAPACITY);
    }

    @Example
    void queryReturnsNewestEventsOfOneService() {
        mRing.record(TimelinePart.STEER, "region-chosen", "booking", "r1", "");
        mTime.advance(Duration.ofSeconds(10));
        HybridTime since = HybridTime.of(mTime.instant().toEpochMilli(), 0);
        mRing.record(TimelinePart.STEER, "region-chosen", "booking", "r2", "");
        mRing.record(TimelinePart.STEER, "region-chosen", "billing", "r3", "");
        mRing.record(TimelinePart.ADMIT, "dispatched", "booking", "r2", "");
        mRing.record(TimelinePart.ADMIT, "dispatched", "booking", "r4", "");
        Assertions.assertThat(find(since, Optional.of("booking"), Optional.empty(), 2))
                .containsExactly("r2", "r4");
        Assertions.assertThat(find(HybridTime.ZERO, Optional.empty(), Optional.of("r2"), 9))
                .containsExactly("r2", "r2");
    }

    @Example
    void truncatesLongTextToBoundMemory() {
        mRing.record(TimelinePart.CALLER, "request-refused", "s", "o", "x".repeat(100_000));
        TimelineEvent event = mRing.find(TimelineQuery.all(1)).get(0);
        Assertions.assertThat(event.detail()).hasSize(TimelineEvent.MAXIMUM_DETAIL_LENGTH);
        Assertions.assertThat(event.detail()).endsWith("~");
    }

    private List<String> find(
            HybridTime since, Optional<String> service, Optional<String> object, int limit) {
        return mRing.find(new TimelineQuery(since, service, object, limit)).stream()
                .map(TimelineEvent::object)
                .toList();
    }

    private void write(CyclicBarrier start) {
        try {
            start.await();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        for (int event = 0; event < EVENTS_PER_WRITER; event++) {
            mRing.record(TimelinePart.ADMIT, "dispatched", "booking", "r" + event, "");
        }
    }
}
