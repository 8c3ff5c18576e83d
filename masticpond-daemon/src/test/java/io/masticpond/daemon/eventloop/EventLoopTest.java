package io.masticpond.daemon.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.SystemTimeSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

class EventLoopTest {

    /** Timeout that only bounds a hang. */
    private static final long TIMEOUT_SECONDS = 60;

    private static final int CLOSE_ROUNDS = 300;

    /** Guards against a task that is accepted while the event loop closes, and never runs. */
    @Example
    void taskAcceptedDuringCloseRuns() throws InterruptedException {
        for (int round = 0; round < CLOSE_ROUNDS; round++) {
            EventLoop loop = new EventLoop("closing", 64, new SystemTimeSource());
            AtomicInteger accepted = new AtomicInteger();
            AtomicInteger executed = new AtomicInteger();
            CountDownLatch producing = new CountDownLatch(1);
            Thread producer =
                    new Thread(
                            () -> {
                                while (loop.put(executed::incrementAndGet)) {
                                    accepted.incrementAndGet();
                                    producing.countDown();
                                }
                            });
            loop.start();
            producer.start();
            producing.await();
            loop.close();
            producer.join();
            assertThat(executed.get()).as("round %s", round).isEqualTo(accepted.get());
        }
    }

    /** Guards against an error of one task that ends the thread, so that no later task runs. */
    @Example
    void errorOfOneTaskDoesNotEndTheThread() throws InterruptedException {
        EventLoop loop = new EventLoop("failing", 64, new SystemTimeSource());
        loop.start();
        CountDownLatch executed = new CountDownLatch(1);
        loop.put(
                () -> {
                    throw new AssertionError("Arranged by the test.");
                });
        loop.put(executed::countDown);
        assertThat(executed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        loop.close();
    }
}
