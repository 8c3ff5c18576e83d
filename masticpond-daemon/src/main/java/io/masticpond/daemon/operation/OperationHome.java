package io.masticpond.daemon.operation;

import io.masticpond.core.operation.OperationKeyIssuer;
import io.masticpond.core.operation.OperationRegistry;
import io.masticpond.daemon.steering.RequestCompletion;

/**
 * Key issuer and operation registry of this incarnation of the instance.
 *
 * @param issuer issues the operation keys
 * @param registry keeps the operations
 * @since 0.1
 */
public record OperationHome(
        OperationKeyIssuer issuer, OperationRegistry<RequestCompletion.Answered> registry) {}
