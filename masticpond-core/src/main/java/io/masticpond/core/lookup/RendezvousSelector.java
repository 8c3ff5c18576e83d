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
 * Spreads clients over the instances of an availability zone.
 *
 * <p>Highest random weight as in {@link io.masticpond.core.membership.Rendezvous}, with the hashes
 * of the instances worked out once, since a look-up is made for each client.
 */
final class RendezvousSelector {

    private final List<Member> mMembers;
    private final long[] mHashes;

    /**
     * Takes the instances of a zone.
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
     * Adds the instances that come first for a client.
     *
     * @param key the hash of the client
     * @param count how many instances to add; as many as there are at most
     * @param chosen takes them in order
     */
    void addFirst(long key, int count, List<Member> chosen) {
        long boundWeight = Long.MAX_VALUE;
        int boundIndex = -1;
        for (int added = 0; added < Math.min(count, size()); added++) {
            int best = heaviestBelow(key, boundWeight, boundIndex);
            chosen.add(mMembers.get(best));
            boundWeight = weight(key, best);
            boundIndex = best;
        }
    }

    /** Finds the heaviest instance that comes after one in the order of weight, then of index. */
    private int heaviestBelow(long key, long boundWeight, int boundIndex) {
        int best = -1;
        long bestWeight = Long.MIN_VALUE;
        for (int i = 0; i < mHashes.length; i++) {
            long weight = weight(key, i);
            boolean after = weight < boundWeight || (weight == boundWeight && i > boundIndex);
            if (after && (best < 0 || weight > bestWeight)) {
                best = i;
                bestWeight = weight;
            }
        }
        return best;
    }

    private long weight(long key, int index) {
        return mix(key ^ mHashes[index]);
    }

    /** Gives a number that is the same for the same first address, to spread clients by. */
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
