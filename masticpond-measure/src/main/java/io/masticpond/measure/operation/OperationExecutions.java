package io.masticpond.measure.operation;

import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.testing.backend.ExecutionLog;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counter of the executions of each operation, identified by its path, under all operation ids with
 * which it was sent. The executions are those that the backend servers counted. Thread-safe.
 */
final class OperationExecutions {

    private final ExecutionLog mLog;
    private final Map<String, Set<String>> mOperationIds = new ConcurrentHashMap<>();

    OperationExecutions(ExecutionLog log) {
        mLog = log;
    }

    /** Records the operation id with which the path of a request is sent. */
    void recordSent(SteeredRequest request) {
        request.operationId()
                .ifPresent(
                        id ->
                                mOperationIds
                                        .computeIfAbsent(
                                                request.path(),
                                                path -> ConcurrentHashMap.newKeySet())
                                        .add(id));
    }

    /** Returns the number of executions of the operation with the given path. */
    int count(String path) {
        return mOperationIds.getOrDefault(path, Set.of()).stream()
                .mapToInt(mLog::executionsOfOperation)
                .sum();
    }
}
