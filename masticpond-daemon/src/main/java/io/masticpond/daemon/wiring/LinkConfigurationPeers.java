package io.masticpond.daemon.wiring;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.Member;
import io.masticpond.daemon.configuration.ConfigurationPeers;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.protocol.generated.ConfigurationFetch;
import io.masticpond.protocol.generated.ConfigurationPush;
import io.masticpond.protocol.generated.Envelope;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Implementation of {@link ConfigurationPeers} on top of the links between instances. Thread-safe.
 *
 * @since 0.1
 */
public final class LinkConfigurationPeers implements ConfigurationPeers {

    private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);

    private final InstanceId mSelf;
    private final InstanceLinks mLinks;
    private final Supplier<? extends Collection<Member>> mMembers;

    /**
     * Creates the peers.
     *
     * @param self this instance
     * @param links the links
     * @param members supplies all members of the current view
     */
    public LinkConfigurationPeers(
            InstanceId self, InstanceLinks links, Supplier<? extends Collection<Member>> members) {
        mSelf = self;
        mLinks = links;
        mMembers = members;
    }

    @Override
    public Collection<Member> members() {
        return mMembers.get().stream().filter(member -> !member.id().equals(mSelf)).toList();
    }

    @Override
    public void push(InstanceId to, ConfigurationPush push) {
        mLinks.send(to, Envelope.newBuilder().setConfigurationPush(push).build());
    }

    @Override
    public CompletableFuture<Optional<ConfigurationPush>> fetch(
            InstanceId from, ConfigurationFetch fetch) {
        return mLinks.call(
                        from,
                        Envelope.newBuilder().setConfigurationFetch(fetch).build(),
                        FETCH_TIMEOUT)
                .thenApply(
                        answer ->
                                answer.toJavaOptional()
                                        .filter(Envelope::hasConfigurationPush)
                                        .map(Envelope::getConfigurationPush));
    }

    @Override
    public void setHandler(Handler handler) {
        mLinks.setHandler(
                Envelope.BodyCase.CONFIGURATION_PUSH,
                (from, message, responder) -> handler.onPush(from, message.getConfigurationPush()));
        mLinks.setHandler(
                Envelope.BodyCase.CONFIGURATION_FETCH,
                (from, message, responder) ->
                        handler.onFetch(
                                message.getConfigurationFetch(),
                                push ->
                                        responder.answer(
                                                Envelope.newBuilder()
                                                        .setConfigurationPush(push)
                                                        .build())));
    }
}
