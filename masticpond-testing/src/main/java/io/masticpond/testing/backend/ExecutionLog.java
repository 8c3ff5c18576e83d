package io.masticpond.testing.backend;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Log of the executions of each request and each operation, kept outside the system.
 *
 * <p>Thread-safe; one log is shared by many stand-in backend servers.
 *
 * @since 0.1
 */
public final class ExecutionLog {

    private final Map<String, Integer> mOperations = new ConcurrentHashMap<>();
    private final Map<String, Integer> mRequests = new ConcurrentHashMap<>();
    private final LongAdder mExecutions = new LongAdder();

    /**
     * Records that a request ran.
     *
     * @param requestId the request id, or null if it had none
     * @param operationId the operation id, or null if it had none
     * @return number of executions of the operation including this one; 0 without an operation id
     */
    public int record(String requestId, String operationId) {
        mExecutions.increment();
        if (requestId != null) {
            mRequests.merge(requestId, 1, Integer::sum);
        }
        return operationId == null ? 0 : mOperations.merge(operationId, 1, Integer::sum);
    }

    /**
     * Returns the number of executions.
     *
     * @return number of executions
     */
    public long executions() {
        return mExecutions.sum();
    }

    /**
     * Returns the number of operations that ran at least once.
     *
     * @return number of operations
     */
    public int operations() {
        return mOperations.size();
    }

    /**
     * Returns the number of executions of an operation.
     *
     * @param operationId the operation id
     * @return number of executions
     */
    public int executionsOfOperation(String operationId) {
        return mOperations.getOrDefault(operationId, 0);
    }

    /**
     * Returns the number of executions of a request.
     *
     * @param requestId the request id
     * @return number of executions
     */
    public int executionsOfRequest(String requestId) {
        return mRequests.getOrDefault(requestId, 0);
    }

    /**
     * Returns the operations that ran more than once.
     *
     * @return ids of the operations, in order
     */
    public List<String> duplicates() {
        return mOperations.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Removes all records. */
    public void clear() {
        mOperations.clear();
        mRequests.clear();
        mExecutions.reset();
    }
}
