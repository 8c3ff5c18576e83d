package io.masticpond.measure.lookup;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.lookup.LookupDecider;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.measure.support.AbstractRefusingCallerService;

/** Caller service that answers look-ups by the real decision and refuses all other requests. */
final class LookupService extends AbstractRefusingCallerService {

    private final Configuration mConfiguration;
    private final LookupDecider mDecider;

    LookupService(Configuration configuration, LookupDecider decider) {
        super(Refusal.didNotRun(RefusalCause.NOT_READY, "Only look-ups are answered here."));
        mConfiguration = configuration;
        mDecider = decider;
    }

    @Override
    public Configuration configuration() {
        return mConfiguration;
    }

    @Override
    public LookupDecision lookup(ServiceId service, String clientAddress, long seenVersion) {
        return mDecider.decide(ClientBlock.parse(clientAddress).toJavaOptional());
    }
}
