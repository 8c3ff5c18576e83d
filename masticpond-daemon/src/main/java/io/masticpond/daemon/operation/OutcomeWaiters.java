package io.masticpond.daemon.operation;

import io.masticpond.core.id.RequestId;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Requests that wait for the outcome of a running operation. Confined to the steering thread. */
final class OutcomeWaiters {

    private static final int MAXIMUM_PER_OPERATION = 32;
    private static final int MAXIMUM = 10_000;

    private final Map<OperationKey, List<Waiter>> mWaiters = new HashMap<>();
    private int mCount;

    /** Waiting request with its listener. */
    private record Waiter(SteeredRequest request, Consumer<RequestCompletion> listener) {}

    /** Adds a waiting request, or refuses it immediately if too many requests are waiting. */
    void add(OperationKey key, SteeredRequest request, Consumer<RequestCompletion> listener) {
        List<Waiter> waiters = mWaiters.computeIfAbsent(key, unused -> new ArrayList<>());
        if (waiters.size() >= MAXIMUM_PER_OPERATION || mCount >= MAXIMUM) {
            listener.accept(new RequestCompletion.Refused(OnceOnlyRefusals.inProgress()));
            return;
        }
        waiters.add(new Waiter(request, listener));
        mCount++;
    }

    /** Completes all requests that wait for the operation. */
    void complete(OperationKey key, RequestCompletion completion) {
        List<Waiter> waiters = mWaiters.remove(key);
        if (waiters == null) {
            return;
        }
        mCount -= waiters.size();
        waiters.forEach(waiter -> waiter.listener().accept(completion));
    }

    /** Refuses waiting requests whose deadline has passed. */
    void refuseOverdue(long nowNanos) {
        List<Waiter> overdue = new ArrayList<>();
        for (List<Waiter> waiters : mWaiters.values()) {
            waiters.removeIf(
                    waiter -> {
                        boolean expired = waiter.request().head().deadlineNanos() - nowNanos <= 0;
                        return expired && overdue.add(waiter);
                    });
        }
        mWaiters.values().removeIf(List::isEmpty);
        mCount -= overdue.size();
        RequestCompletion completion = new RequestCompletion.Refused(OnceOnlyRefusals.inProgress());
        overdue.forEach(waiter -> waiter.listener().accept(completion));
    }

    /** Removes the listener of a request. */
    void cancel(RequestId request) {
        for (List<Waiter> waiters : mWaiters.values()) {
            if (waiters.removeIf(waiter -> waiter.request().head().id().equals(request))) {
                mCount--;
                return;
            }
        }
    }
}
