package io.masticpond.daemon.wiring;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.platform.HttpObjectStore;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformClientSettings;
import io.masticpond.daemon.platform.PlatformObserver;
import io.masticpond.daemon.settings.DaemonSettings;
import javax.inject.Singleton;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Dagger module that provides the client of the platform.
 *
 * <p>The jitter is seeded by the operating system, so that instances that start at the same time do
 * not call the platform at the same time.
 *
 * @since 0.1
 */
@Module
public abstract class PlatformModule {

    @Provides
    @Singleton
    static HttpObjectStore httpObjectStore(
            DaemonSettings settings, TimeSource timeSource, PlatformObserver observer) {
        PlatformClientSettings client =
                PlatformClientSettings.of(
                        settings.platform().addresses(), settings.platform().callsPerSecond());
        return new HttpObjectStore(
                client, timeSource, RandomSource.XO_RO_SHI_RO_128_PP.create(), observer);
    }

    @Binds
    abstract ObjectStore objectStore(HttpObjectStore store);
}
