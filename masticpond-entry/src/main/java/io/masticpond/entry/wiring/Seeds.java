package io.masticpond.entry.wiring;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.settings.EntrySettings;
import java.util.List;

/**
 * Utility methods that derive the internal addresses of the seeds; the internal port is the same on
 * all instances.
 */
final class Seeds {

    private Seeds() {}

    static List<ServerAddress> internal(EntrySettings settings, PeerInstance self) {
        int port = self.internal().port();
        return settings.seeds().stream().map(seed -> new ServerAddress(seed.ip(), port)).toList();
    }
}
