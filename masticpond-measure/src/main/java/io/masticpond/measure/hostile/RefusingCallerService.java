package io.masticpond.measure.hostile;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.daemon.configuration.ConfigurationCodec;
import io.masticpond.measure.support.AbstractRefusingCallerService;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Caller service whose configuration has one service, and which refuses each request to it. */
final class RefusingCallerService extends AbstractRefusingCallerService {

    private final Configuration mConfiguration;

    RefusingCallerService() {
        super(Refusal.didNotRun(RefusalCause.NO_CAPACITY, "No slot is free."));
        ConfigurationIntent intent =
                new ConfigurationCodec()
                        .decodeIntent(HostileTargets.bytes(HostileSamples.INTENT))
                        .getOrElseThrow(faults -> new IllegalStateException(faults.toString()));
        mConfiguration =
                new Configuration(
                        new ConfigurationVersion(1),
                        Optional.of(new PlanId("plan")),
                        intent.resultOn(Configuration.EMPTY.content()));
    }

    @Override
    public Configuration configuration() {
        return mConfiguration;
    }

    @Override
    public LookupDecision lookup(ServiceId service, String clientAddress, long seenVersion) {
        return new LookupDecision(List.of(), Duration.ofSeconds(1), mConfiguration.version());
    }
}
