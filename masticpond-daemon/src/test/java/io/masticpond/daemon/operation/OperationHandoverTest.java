package io.masticpond.daemon.operation;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.operation.ClaimBatcher;
import io.masticpond.core.operation.ClaimLimits;
import io.masticpond.core.operation.OutcomeBatcher;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.platform.ObjectStore;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

class OperationHandoverTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final GuardedInstances mInstances = new GuardedInstances();
    private final GuardedInstances.Instance mHome = mInstances.start("casa-1");
    private final EventLoop mSteeringLoop = loop("steering");
    private final EventLoop mOperationLoop = loop("operations");
    private final OperationHandover mHandover = handover();

    @AfterTry
    void close() {
        mSteeringLoop.close();
        mOperationLoop.close();
    }

    /** Guards against "all handed over" while an outcome is yet to come, and is lost. */
    @Example
    void handoverIsIncompleteWhileAnOperationIsRunning() {
        onSteeringThread(
                () ->
                        mHome.submit(
                                mInstances.request("plate 7"),
                                GuardedInstances.operationKeyOf(mHome.mGuard.issueKey())));
        assertThat(mHandover.handOver(TIMEOUT)).isFalse();
        onSteeringThread(() -> mHome.execute(GuardedInstances.answer("reserved")));
        assertThat(mHandover.handOver(TIMEOUT)).isTrue();
    }

    private void onSteeringThread(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mSteeringLoop.put(
                () -> {
                    task.run();
                    done.complete(null);
                });
        done.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
    }

    private static EventLoop loop(String name) {
        return new EventLoop(name, 64, new SystemTimeSource());
    }

    private OperationHandover handover() {
        ObjectStore unusedStore =
                (ObjectStore)
                        Proxy.newProxyInstance(
                                ObjectStore.class.getClassLoader(),
                                new Class<?>[] {ObjectStore.class},
                                (proxy, method, arguments) -> {
                                    throw new UnsupportedOperationException();
                                });
        SystemTimeSource time = new SystemTimeSource();
        PlatformOperationArchive archive =
                new PlatformOperationArchive(
                        mOperationLoop,
                        unusedStore,
                        mHome.mHome,
                        new ClaimBatcher(ClaimLimits.DEFAULT, time, new SplittableRandom(1)),
                        new OutcomeBatcher<>(
                                time, Duration.ofMillis(20), Duration.ofMinutes(2), 100),
                        Runnable::run);
        mSteeringLoop.start();
        mOperationLoop.start();
        return new OperationHandover(mHome.mHome, mSteeringLoop, mHome.mGuard, archive, mHome);
    }
}
