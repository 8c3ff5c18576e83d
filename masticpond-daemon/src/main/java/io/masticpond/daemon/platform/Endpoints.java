package io.masticpond.daemon.platform;

import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Addresses of the platform, each with a circuit breaker. One address is used for as long as it
 * answers.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class Endpoints {

    private final List<Endpoint> mEndpoints;
    private int mPreferredIndex;

    /**
     * Address with its circuit breaker.
     *
     * @param address the address as "ip:port"
     * @param breaker the circuit breaker
     */
    public record Endpoint(String address, Breaker breaker) {}

    /**
     * Creates the endpoints, of which the first is preferred initially.
     *
     * @param addresses the addresses, at least one
     * @param breakers creates the breaker of each address
     */
    public Endpoints(List<String> addresses, Supplier<Breaker> breakers) {
        Assert.notEmpty(addresses, "The addresses of the platform");
        mEndpoints =
                addresses.stream().map(address -> new Endpoint(address, breakers.get())).toList();
    }

    /**
     * Selects the endpoint for the next call.
     *
     * @return the preferred endpoint, or else the next whose breaker permits the call; empty if
     *     none does
     */
    public Optional<Endpoint> choose() {
        for (int step = 0; step < mEndpoints.size(); step++) {
            Endpoint endpoint = mEndpoints.get((mPreferredIndex + step) % mEndpoints.size());
            if (endpoint.breaker().tryAcquirePermission()) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    /**
     * Records that a call was answered.
     *
     * @param endpoint the endpoint of the call
     */
    public void recordSuccess(Endpoint endpoint) {
        endpoint.breaker().recordSuccess();
    }

    /**
     * Records that a call failed. If the endpoint was the preferred one, the next one becomes
     * preferred.
     *
     * @param endpoint the endpoint of the call
     */
    public void recordFailure(Endpoint endpoint) {
        endpoint.breaker().recordFailure();
        if (mEndpoints.get(mPreferredIndex).equals(endpoint)) {
            mPreferredIndex = (mPreferredIndex + 1) % mEndpoints.size();
        }
    }

    /**
     * Returns all endpoints.
     *
     * @return the endpoints in the order of the settings
     */
    public List<Endpoint> all() {
        return mEndpoints;
    }
}
