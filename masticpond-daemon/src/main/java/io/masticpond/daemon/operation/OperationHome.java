package io.masticpond.daemon.operation;

import io.masticpond.core.operation.OperationKeyIssuer;
import io.masticpond.core.operation.OperationRegistry;
import io.masticpond.daemon.steering.RequestCompletion;

/**
 * The keys and operations of this run of the instance.
 *
 * @param issuer issues its keys
 * @param registry keeps its operations
 * @since 0.1
 */
public record OperationHome(
        OperationKeyIssuer issuer, OperationRegistry<RequestCompletion.Answered> registry) {}
