package io.masticpond.daemon.wiring;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.KeyRing;
import io.masticpond.daemon.instance.LinkSettings;
import io.masticpond.daemon.instance.NettyInstanceLinks;
import io.masticpond.daemon.settings.DaemonSettings;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;

/**
 * Dagger module that provides the links to other instances.
 *
 * @since 0.1
 */
@Module
public abstract class LinkModule {

    @Provides
    @Singleton
    static NettyInstanceLinks nettyInstanceLinks(
            DaemonSettings settings,
            Incarnation incarnation,
            TimeSource timeSource,
            RandomGenerator random) {
        return new NettyInstanceLinks(
                incarnation,
                LinkSettings.of(settings.link().address(), keyRing(settings.link().keys())),
                timeSource,
                random.nextLong());
    }

    @Binds
    abstract InstanceLinks instanceLinks(NettyInstanceLinks links);

    private static KeyRing keyRing(List<DaemonSettings.KeySettings> settings) {
        Map<String, byte[]> keys = new LinkedHashMap<>();
        for (DaemonSettings.KeySettings key : settings) {
            keys.put(key.id(), key.value().getBytes(StandardCharsets.UTF_8));
        }
        return new KeyRing(settings.get(0).id(), keys);
    }
}
