package io.masticpond.core.lookup;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.membership.Member;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Selector that spreads clients over the instances of an availability zone.
 *
 * <p>Uses highest random weight hashing as in {@link io.masticpond.core.membership.Rendezvous},
 * with the hashes of the instances computed once, since a look-up is made for each client.
 */
final class RendezvousSelector {

    private final List<Member> mMembers;
    private final long[] mHashes;

    /**
     * Creates a selector for the instances of a zone.
     *
     * @param members the instances in any order
     */
    RendezvousSelector(Collection<Member> members) {
        mMembers = members.stream().sorted(Comparator.comparing(Member::id)).toList();
        mHashes = mMembers.stream().mapToLong(member -> hash(member.id().value())).toArray();
    }

    int size() {
        return mMembers.size();
    }

    /**
     * Adds the instances with the highest weights for a client.
     *
     * @param key the hash of the client
     * @param count the number of instances to add; all are added if there are fewer
     * @param chosen the list to which they are added in order
     */
    void addFirst(long key, int count, List<Member> chosen) {
        long previousWeight = Long.MAX_VALUE;
        int previousIndex = -1;
        for (int added = 0; added < Math.min(count, size()); added++) {
            int best = nextHeaviest(key, previousWeight, previousIndex);
            chosen.add(mMembers.get(best));
            previousWeight = weight(key, best);
            previousIndex = best;
        }
    }

    /**
     * Returns the instance with the highest weight that follows a given one in the order of weight,
     * then of index.
     */
    private int nextHeaviest(long key, long previousWeight, int previousIndex) {
        int best = -1;
        long bestWeight = Long.MIN_VALUE;
        for (int i = 0; i < mHashes.length; i++) {
            long weight = weight(key, i);
            boolean isAfter =
                    weight < previousWeight || (weight == previousWeight && i > previousIndex);
            if (isAfter && (best < 0 || weight > bestWeight)) {
                best = i;
                bestWeight = weight;
            }
        }
        return best;
    }

    private long weight(long key, int index) {
        return mix(key ^ mHashes[index]);
    }

    /**
     * Returns a hash by which clients are spread; blocks with the same first address have the same
     * hash.
     */
    static long keyOf(ClientBlock client) {
        return mix(client.high() ^ mix(client.low()));
    }

    private static long mix(long value) {
        return new SplitMix64(value).nextLong();
    }

    private static long hash(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return mix(checksum.getValue());
    }
}
