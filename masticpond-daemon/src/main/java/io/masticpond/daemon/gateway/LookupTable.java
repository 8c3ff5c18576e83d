package io.masticpond.daemon.gateway;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.ClientBlockSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.lookup.ClientBlockTable;
import io.masticpond.core.lookup.LookupDecider;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.lookup.LookupError;
import io.masticpond.core.lookup.LookupParameters;
import io.masticpond.core.membership.Member;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Table that answers look-ups from the newest snapshot. Thread-safe; a change of the snapshot never
 * blocks readers.
 *
 * @since 0.1
 */
public final class LookupTable {

    private static final Logger sLogger = LoggerFactory.getLogger(LookupTable.class);

    private final ZoneId mZone;
    private final LookupParameters mParameters;
    private Configuration mConfiguration = Configuration.EMPTY;
    private ClientBlockTable mBlocks = ClientBlockTable.EMPTY;
    private List<Member> mMembers = List.of();
    private volatile LookupDecider mDecider;

    /**
     * Creates a table without members and with an empty configuration.
     *
     * @param zone the availability zone of this instance
     * @param cacheFor the time for which answers may be cached
     */
    public LookupTable(ZoneId zone, Duration cacheFor) {
        mZone = zone;
        mParameters =
                new LookupParameters(
                        LookupParameters.DEFAULT.maximumInstances(),
                        LookupParameters.DEFAULT.nearestZoneInstances(),
                        cacheFor);
        refresh();
    }

    /**
     * Applies a configuration that came into force.
     *
     * @param configuration the configuration
     */
    public synchronized void configure(Configuration configuration) {
        List<ClientBlockSpecification> blocks = configuration.content().clientBlocks();
        if (!blocks.equals(mConfiguration.content().clientBlocks())) {
            mBlocks =
                    ClientBlockTable.of(blocks)
                            .getOrElseGet(
                                    error -> {
                                        sLogger.error("CONFIG  {}", error.message());
                                        return mBlocks;
                                    });
        }
        mConfiguration = configuration;
        refresh();
    }

    /**
     * Replaces the members by those in the current membership view.
     *
     * @param members the members
     */
    public synchronized void updateMembers(List<Member> members) {
        if (members.equals(mMembers)) {
            return;
        }
        mMembers = List.copyOf(members);
        refresh();
    }

    /**
     * Decides which instances a client should use.
     *
     * @param client the numeric address or block of the client
     * @return the decision
     * @throws IllegalArgumentException if the client is not numeric
     */
    public LookupDecision decide(String client) {
        ClientBlock block =
                ClientBlock.parse(client)
                        .getOrElseThrow(
                                reason ->
                                        new IllegalArgumentException(
                                                new LookupError.InvalidBlock(client, reason)
                                                        .message()));
        return mDecider.decide(java.util.Optional.of(block));
    }

    private synchronized void refresh() {
        mDecider = new LookupDecider(mConfiguration, mBlocks, mMembers, mZone, mParameters);
    }
}
