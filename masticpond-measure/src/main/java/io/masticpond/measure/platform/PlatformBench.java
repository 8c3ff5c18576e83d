package io.masticpond.measure.platform;

import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.platform.HttpObjectStore;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.PlatformClientSettings;
import io.masticpond.daemon.platform.PlatformObserver;
import io.masticpond.testing.platform.PlatformServer;
import io.masticpond.testing.platform.PlatformState;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;

/** Stand-in platform with several clients, each configured like the client of one daemon. */
final class PlatformBench implements AutoCloseable {

    static final ObjectKey KEY = new ObjectKey(ObjectKind.LEDGER, "plate-ledger");

    private final TimeSource mTimeSource = new SystemTimeSource();
    private final PlatformState mState;
    private final PlatformServer mServer;
    private final List<HttpObjectStore> mStores = new ArrayList<>();

    PlatformBench(long seed, int clients, int callsPerSecond) {
        mState = new PlatformState(mTimeSource, seed);
        mServer = new PlatformServer(mState, 0);
        PlatformClientSettings settings =
                PlatformClientSettings.of(List.of(mServer.address()), callsPerSecond);
        for (int client = 0; client < clients; client++) {
            mStores.add(
                    new HttpObjectStore(
                            settings,
                            mTimeSource,
                            RandomSource.XO_RO_SHI_RO_128_PP.create(seed + client),
                            PlatformObserver.NONE));
        }
    }

    PlatformState state() {
        return mState;
    }

    TimeSource timeSource() {
        return mTimeSource;
    }

    List<HttpObjectStore> stores() {
        return mStores;
    }

    HttpObjectStore store() {
        return mStores.get(0);
    }

    @Override
    public void close() {
        mStores.forEach(HttpObjectStore::close);
        mServer.close();
    }
}
