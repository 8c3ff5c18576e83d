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

/** Factory of the spending check, which charges attempts; loaded only where spending has a cap. */
final class SpendingWiring {

    /** The writes that the store allows, divided by this, are the maximum for one ledger. */
    private static final int LEDGER_WRITE_DIVISOR = 4;

    private SpendingWiring() {}

    static SpendingCheck createService(
            EntrySettings settings,
            ConditionalStore store,
            PeerInstance self,
            PeerView peers,
            EventLoop traffic,
            EventLoop control,
            TimeSource timeSource) {
        int ledgerWrites = settings.store().writesPerSecond() / LEDGER_WRITE_DIVISOR;
        int defaultWrites = AllotmentPolicy.DEFAULT.writesPerSecond();
        return new SpendingService(
                settings.spending().orElseThrow(),
                settings.zones(),
                new Incarnation(self.id(), self.incarnation()),
                store,
                Math.max(1, Math.min(ledgerWrites, defaultWrites)),
                peers::shareholders,
                new EventLoopScheduler(traffic),
                control,
                timeSource);
    }
}
