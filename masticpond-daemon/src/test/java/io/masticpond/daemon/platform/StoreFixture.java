package io.masticpond.daemon.platform;

import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.testing.platform.PlatformServer;
import io.masticpond.testing.platform.PlatformState;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.commons.rng.simple.RandomSource;

/** Simulated platform with its clients, which are closed together. */
final class StoreFixture implements AutoCloseable {

    static final ObjectKey KEY = new ObjectKey(ObjectKind.LEDGER, "plate-ledger.2026-12-02");
    static final int BUDGET = 1_000;

    private static final long SEED = 7;

    /** Only bounds a hang: no assertion depends on how soon an answer arrives. */
    private static final Duration HANG_TIMEOUT = Duration.ofSeconds(60);

    private final PlatformState mState = new PlatformState(new SystemTimeSource(), SEED);
    private final PlatformServer mServer = new PlatformServer(mState, 0);
    private final List<HttpObjectStore> mStores = new ArrayList<>();

    PlatformState state() {
        return mState;
    }

    PlatformServer server() {
        return mServer;
    }

    HttpObjectStore store() {
        return store(BUDGET, mServer.address());
    }

    HttpObjectStore store(int callsPerSecond, String... addresses) {
        return store(settings(callsPerSecond, addresses), new SystemTimeSource());
    }

    /** Creates a client whose budget, retries and circuit breakers use the given clock. */
    HttpObjectStore store(PlatformClientSettings settings, TimeSource timeSource) {
        HttpObjectStore store =
                new HttpObjectStore(
                        settings,
                        timeSource,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(SEED),
                        PlatformObserver.NONE);
        mStores.add(store);
        return store;
    }

    static PlatformClientSettings settings(int callsPerSecond, String... addresses) {
        return settings(callsPerSecond, 3, HANG_TIMEOUT, addresses);
    }

    static PlatformClientSettings settings(
            int callsPerSecond, int attempts, Duration callTimeout, String... addresses) {
        return new PlatformClientSettings(
                List.of(addresses),
                callsPerSecond,
                HANG_TIMEOUT,
                callTimeout,
                attempts,
                Duration.ofMillis(5),
                Duration.ofMillis(20),
                5,
                Duration.ofMillis(50),
                Duration.ofMillis(200));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(2 * HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError("A call to the platform did not end.", e);
        }
    }

    @Override
    public void close() {
        mStores.forEach(HttpObjectStore::close);
        mServer.close();
    }
}
