package io.masticpond.daemon.configuration;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.Member;
import io.masticpond.protocol.generated.ConfigurationFetch;
import io.masticpond.protocol.generated.ConfigurationPush;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Strategy interface through which {@link ConfigurationService} reaches the other instances.
 * Implementations must be thread-safe.
 *
 * @since 0.1
 */
public interface ConfigurationPeers {

    /**
     * Returns the other instances in the current membership view of this instance.
     *
     * @return the instances, each with the configuration version that it last reported
     */
    Collection<Member> members();

    /**
     * Sends an update to an instance; the message may be lost.
     *
     * @param to the instance
     * @param push the message
     */
    void push(InstanceId to, ConfigurationPush push);

    /**
     * Requests the update that an instance has for this one.
     *
     * @param from the instance
     * @param fetch the request
     * @return the answer, or empty if none arrived in time; never completes exceptionally
     */
    CompletableFuture<Optional<ConfigurationPush>> fetch(InstanceId from, ConfigurationFetch fetch);

    /**
     * Sets the handler of messages from other instances.
     *
     * @param handler the handler, called on a thread of the links
     */
    void setHandler(Handler handler);

    /**
     * Callback interface for messages from other instances. Implementations must hand a message
     * over to an event loop and return at once.
     */
    interface Handler {

        /**
         * Handles an update that this instance did not request.
         *
         * @param from the instance that sent it
         * @param push the message
         */
        void onPush(InstanceId from, ConfigurationPush push);

        /**
         * Handles a request for an update.
         *
         * @param fetch the request
         * @param answer receives the answer, on any thread
         */
        void onFetch(ConfigurationFetch fetch, Consumer<ConfigurationPush> answer);
    }
}
