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
 * The other instances as the configuration's duty needs them; safe for all threads.
 *
 * @since 0.1
 */
public interface ConfigurationPeers {

    /**
     * Lists the other instances as this one sees them now.
     *
     * @return the instances, each with the version it said it has
     */
    Collection<Member> members();

    /**
     * Tells an instance of a version; the message may be lost.
     *
     * @param to the instance
     * @param push the message
     */
    void push(InstanceId to, ConfigurationPush push);

    /**
     * Asks an instance for what it knows.
     *
     * @param from the instance
     * @param fetch the question
     * @return the answer, or empty if none came in time; never fails
     */
    CompletableFuture<Optional<ConfigurationPush>> fetch(InstanceId from, ConfigurationFetch fetch);

    /**
     * Takes what other instances send.
     *
     * @param handler the handler, called on a thread of the links
     */
    void handle(Handler handler);

    /** Takes what other instances send; hands it to a duty and returns at once. */
    interface Handler {

        /**
         * Takes a message that was not asked for.
         *
         * @param from the instance that sent it
         * @param push the message
         */
        void onPush(InstanceId from, ConfigurationPush push);

        /**
         * Takes a question.
         *
         * @param fetch the question
         * @param answer takes the answer, from any thread
         */
        void onFetch(ConfigurationFetch fetch, Consumer<ConfigurationPush> answer);
    }
}
