package io.masticpond.core.lookup;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.membership.Member;
import java.time.Duration;
import java.util.List;

/**
 * Answer to a look-up.
 *
 * @param instances the instances to use, the best first
 * @param cacheFor the time for which the answer may be cached
 * @param configuration the configuration version on which the answer is based
 * @since 0.1
 */
public record LookupDecision(
        List<Member> instances, Duration cacheFor, ConfigurationVersion configuration) {

    /** Copies the list of instances. */
    public LookupDecision {
        instances = List.copyOf(instances);
    }
}
