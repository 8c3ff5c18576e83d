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
 * Asks many instances at the same time, so that silent ones cost one time limit together.
 *
 * @since 0.2
 */
public final class FanOut {

    private static final int MAXIMUM_THREADS = 16;

    private FanOut() {}

    /**
     * Asks instances.
     *
     * @param <T> what an instance answers
     * @param addresses the instances
     * @param question asks one; must end in bounded time
     * @return the answers in the order of the addresses
     */
    public static <T> Map<InstanceAddress, Either<ClientError, T>> query(
            List<InstanceAddress> addresses,
            Function<InstanceAddress, Either<ClientError, T>> question) {
        ExecutorService executor =
                Executors.newFixedThreadPool(
                        Math.max(1, Math.min(MAXIMUM_THREADS, addresses.size())));
        try {
            List<Future<Either<ClientError, T>>> futures = new ArrayList<>();
            for (InstanceAddress address : addresses) {
                futures.add(executor.submit(() -> question.apply(address)));
            }
            Map<InstanceAddress, Either<ClientError, T>> answers = new LinkedHashMap<>();
            for (int index = 0; index < futures.size(); index++) {
                answers.put(addresses.get(index), futures.get(index).get());
            }
            return answers;
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
