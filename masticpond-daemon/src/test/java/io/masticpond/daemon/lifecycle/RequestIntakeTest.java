package io.masticpond.daemon.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.Example;

class RequestIntakeTest {

    private static final int ROUNDS = 5_000;

    private final RequestIntake mIntake = new RequestIntake();

    @Example
    void closesOnlyWhileNoRequestIsInFlight() {
        assertThat(mIntake.tryEnter()).isTrue();
        assertThat(mIntake.closeIfIdle()).isFalse();
        assertThat(mIntake.isClosed()).isFalse();
        mIntake.leave();
        assertThat(mIntake.closeIfIdle()).isTrue();
        assertThat(mIntake.isClosed()).isTrue();
        assertThat(mIntake.tryEnter()).isFalse();
        assertThat(mIntake.count()).isZero();
    }

    @Example
    void requestsInFlightAreCountedAfterClose() {
        mIntake.tryEnter();
        mIntake.close();
        assertThat(mIntake.tryEnter()).isFalse();
        assertThat(mIntake.count()).isEqualTo(1);
        assertThat(mIntake.closeIfIdle()).isFalse();
        mIntake.leave();
        assertThat(mIntake.closeIfIdle()).isTrue();
    }

    @Example
    void endWithoutRequestIsAnError() {
        assertThatThrownBy(mIntake::leave).isInstanceOf(IllegalArgumentException.class);
    }

    /**
     * Guards against a stop that reads "idle" while another thread accepts a request: of a close
     * and an entry at the same moment, exactly one succeeds.
     */
    @Example
    void requestIsEitherCountedByCloseOrRefused() throws Exception {
        ExecutorService executor = Executors.newSingleThreadExecutor();
        try {
            CyclicBarrier barrier = new CyclicBarrier(2);
            for (int round = 0; round < ROUNDS; round++) {
                RequestIntake intake = new RequestIntake();
                Future<Boolean> entered =
                        executor.submit(
                                () -> {
                                    barrier.await();
                                    return intake.tryEnter();
                                });
                barrier.await();
                boolean closed = intake.closeIfIdle();
                assertThat(entered.get()).isEqualTo(!closed);
            }
        } finally {
            executor.shutdown();
        }
    }
}
