package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.HashMixer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Rendezvous hashing: orders instances for a key so that all processes that know the same instances
 * determine the same order without exchanging messages.
 *
 * <p>Uses the highest random weight (Thaler and Ravishankar, 1998): the removal of an instance
 * changes the first choice only for those keys whose first choice it was.
 *
 * @since 0.1
 */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Orders instances for a key by descending preference.
     *
     * @param key the key, such as the text of a shard
     * @param instances the instances
     * @return the ordered instances
     */
    public static List<InstanceId> order(String key, Collection<InstanceId> instances) {
        return instances.stream()
                .sorted(
                        Comparator.comparingLong((InstanceId id) -> weight(key, id.value()))
                                .reversed()
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /**
     * Returns the weight of a candidate for a key. The candidate with the greatest weight is
     * preferred.
     */
    static long weight(String key, String candidate) {
        CRC32C checksum = new CRC32C();
        checksum.update(key.getBytes(StandardCharsets.UTF_8));
        checksum.update(0);
        checksum.update(candidate.getBytes(StandardCharsets.UTF_8));
        return HashMixer.mix(checksum.getValue());
    }
}
