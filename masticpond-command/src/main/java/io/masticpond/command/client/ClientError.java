package io.masticpond.command.client;

import java.util.List;

/**
 * Reason for which a request to instances failed.
 *
 * @since 0.1
 */
public sealed interface ClientError {

    /**
     * Returns a message that describes the error to an operator.
     *
     * @return the message, one sentence
     */
    String message();

    /**
     * Returns a short reason, for output that already names the instance.
     *
     * @return the reason, a few words
     */
    default String reason() {
        return message();
    }

    /**
     * Error for a request that no instance responded to.
     *
     * @param attempts the failed attempts, one for each instance, in the order in which they were
     *     made
     */
    record Unreachable(List<Attempt> attempts) implements ClientError {

        /** Makes a defensive copy of the list. */
        public Unreachable {
            attempts = List.copyOf(attempts);
        }

        @Override
        public String reason() {
            return attempts.size() == 1 ? attempts.get(0).reason() : message();
        }

        @Override
        public String message() {
            StringBuilder text = new StringBuilder("No instance answered:");
            for (Attempt attempt : attempts) {
                text.append(' ').append(attempt.address()).append(" (").append(attempt.reason());
                text.append("),");
            }
            text.setCharAt(text.length() - 1, '.');
            return text.toString();
        }
    }

    /**
     * Error for a token that an instance does not accept.
     *
     * @param address the instance that rejected the token
     */
    record Unauthorized(InstanceAddress address) implements ClientError {

        @Override
        public String message() {
            return "Instance " + address + " does not accept the token.";
        }
    }

    /**
     * Error for a request that conflicts with a change made in the meantime.
     *
     * @param problem the problem document that the instance returned
     */
    record Conflict(Problem problem) implements ClientError {

        @Override
        public String message() {
            return problem.detail();
        }
    }

    /**
     * Error for a request that an instance refused.
     *
     * @param problem the problem document that the instance returned
     */
    record Refused(Problem problem) implements ClientError {

        @Override
        public String message() {
            return problem.detail();
        }
    }

    /**
     * Error for a response that violates the contract of the interface.
     *
     * @param address the instance
     * @param reason the reason why the response can't be read
     */
    record Malformed(InstanceAddress address, String reason) implements ClientError {

        @Override
        public String message() {
            return "Instance " + address + " gave an answer that can't be read: " + reason;
        }
    }

    /**
     * Failed attempt to reach an instance.
     *
     * @param address the instance
     * @param reason the reason for the failure, a few words
     */
    record Attempt(InstanceAddress address, String reason) {}
}
