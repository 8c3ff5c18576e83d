package io.masticpond.command.client;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;

/**
 * Helper that queries up to 16 instances at the same time, so that unresponsive ones cost about one
 * timeout together instead of one each.
 *
 * @since 0.2
 */
public final class FanOut {

    private static final int MAXIMUM_THREADS = 16;

    private FanOut() {}

    /**
     * Queries the given instances and waits until all queries have completed.
     *
     * @param <T> the type of the response of an instance
     * @param addresses the instances to query
     * @param request sends the request to one instance; must complete in bounded time
     * @return the responses or errors, in the order of the addresses
     */
    public static <T> Map<InstanceAddress, Either<ClientError, T>> query(
            List<InstanceAddress> addresses,
            Function<InstanceAddress, Either<ClientError, T>> request) {
        ExecutorService executor =
                Executors.newFixedThreadPool(
                        Math.max(1, Math.min(MAXIMUM_THREADS, addresses.size())));
        try {
            List<Future<Either<ClientError, T>>> futures = new ArrayList<>();
            for (InstanceAddress address : addresses) {
                futures.add(executor.submit(() -> request.apply(address)));
            }
            Map<InstanceAddress, Either<ClientError, T>> responses = new LinkedHashMap<>();
            for (int index = 0; index < futures.size(); index++) {
                responses.put(addresses.get(index), futures.get(index).get());
            }
            return responses;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("The collection was interrupted.", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("An instance could not be asked.", e);
        } finally {
            executor.shutdownNow();
        }
    }
}
