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

/** Requests that wait for the outcome of an operation that runs; belongs to the steering duty. */
final class OutcomeWaiters {

    private static final int MAXIMUM_FOR_OPERATION = 32;
    private static final int MAXIMUM = 10_000;

    private final Map<OperationKey, List<Waiter>> mWaiters = new HashMap<>();
    private int mCount;

    /** A request that waits. */
    private record Waiter(SteeredRequest request, Consumer<RequestCompletion> listener) {}

    /** Lets a request wait, or ends it at once if too many wait. */
    void add(OperationKey key, SteeredRequest request, Consumer<RequestCompletion> listener) {
        List<Waiter> waiters = mWaiters.computeIfAbsent(key, unused -> new ArrayList<>());
        if (waiters.size() >= MAXIMUM_FOR_OPERATION || mCount >= MAXIMUM) {
            listener.accept(new RequestCompletion.Refused(OnceOnlyRefusals.inProgress()));
            return;
        }
        waiters.add(new Waiter(request, listener));
        mCount++;
    }

    /** Gives the outcome to all who wait for it. */
    void end(OperationKey key, RequestCompletion end) {
        List<Waiter> waiters = mWaiters.remove(key);
        if (waiters == null) {
            return;
        }
        mCount -= waiters.size();
        waiters.forEach(waiter -> waiter.listener().accept(end));
    }

    /** Ends those whose deadline has passed. */
    void endOverdue(long nowNanos) {
        List<Waiter> overdue = new ArrayList<>();
        for (List<Waiter> waiters : mWaiters.values()) {
            waiters.removeIf(
                    waiter -> {
                        boolean late = waiter.request().head().deadlineNanos() - nowNanos <= 0;
                        return late && overdue.add(waiter);
                    });
        }
        mWaiters.values().removeIf(List::isEmpty);
        mCount -= overdue.size();
        RequestCompletion end = new RequestCompletion.Refused(OnceOnlyRefusals.inProgress());
        overdue.forEach(waiter -> waiter.listener().accept(end));
    }

    /** Forgets the listener of a request. */
    void cancel(RequestId request) {
        for (List<Waiter> waiters : mWaiters.values()) {
            if (waiters.removeIf(waiter -> waiter.request().head().id().equals(request))) {
                mCount--;
                return;
            }
        }
    }
}
