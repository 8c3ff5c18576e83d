package io.masticpond.entry.wiring;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.spending.AllotmentPolicy;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.EventLoopScheduler;
import io.masticpond.entry.request.SpendingCheck;
import io.masticpond.entry.settings.EntrySettings;
import io.masticpond.entry.spending.SpendingService;
import io.netty.channel.EventLoop;

/** Joins what pays for attempts; loaded only where spending has a cap. */
final class SpendingWiring {

    /** One ledger may take this part of the writes that the store allows. */
    private static final int PART_OF_WRITES = 4;

    private SpendingWiring() {}

    static SpendingCheck desk(
            EntrySettings settings,
            ConditionalStore store,
            PeerInstance self,
            PeerView peers,
            EventLoop traffic,
            EventLoop control,
            TimeSource timeSource) {
        int part = settings.store().writesPerSecond() / PART_OF_WRITES;
        int usual = AllotmentPolicy.DEFAULT.writesPerSecond();
        return new SpendingService(
                settings.spending().orElseThrow(),
                settings.zones(),
                new Incarnation(self.id(), self.incarnation()),
                store,
                Math.max(1, Math.min(part, usual)),
                peers::shareholders,
                new EventLoopScheduler(traffic),
                control,
                timeSource);
    }
}
