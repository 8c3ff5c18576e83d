package io.masticpond.measure.tail;

import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A load under which policies are compared.
 *
 * @param name the name as printed in the tables
 * @param meanMillis the mean of the service times in milliseconds
 * @param load the offered load as a fraction of the capacity of all slots
 * @param requests the number of requests in one run
 * @param policies the policies to compare
 */
record TailScenario(
        String name, int meanMillis, double load, int requests, Set<TailPolicyKind> policies) {

    long meanNanos() {
        return TimeUnit.MILLISECONDS.toNanos(meanMillis);
    }
}
