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
 * The other instances as the configuration's duty needs them, over links; safe for all threads.
 *
 * @since 0.1
 */
public final class LinkConfigurationPeers implements ConfigurationPeers {

    private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);

    private final InstanceId mSelf;
    private final InstanceLinks mLinks;
    private final Supplier<? extends Collection<Member>> mMembers;

    /**
     * Makes the peers.
     *
     * @param self this instance
     * @param links the links
     * @param members lists all members as they are seen now
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
    public void handle(Handler handler) {
        mLinks.handle(
                Envelope.BodyCase.CONFIGURATION_PUSH,
                (from, message, responder) -> handler.onPush(from, message.getConfigurationPush()));
        mLinks.handle(
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
