package io.masticpond.measure.lookup;

import io.masticpond.core.configuration.AddressFamily;
import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.lookup.ClientBlockChange;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generator of client blocks like those of a large network: seven in ten are IPv4, some are nested.
 */
final class SyntheticBlocks {

    private static final int SITES = 94;
    private static final double IPV4_SHARE = 0.7;
    private static final int[] IPV4_LENGTHS = {16, 19, 20, 21, 22, 22, 23, 24, 24, 24, 24, 24};
    private static final int[] IPV6_LENGTHS = {29, 32, 40, 44, 48, 48, 48, 48, 56, 64};
    private static final int IPV6_LONG_LENGTH = 96;
    private static final int IPV6_FIRST_GROUP = 0x2000;
    private static final int IPV6_FIRST_GROUP_RANGE = 0x0a10;
    private static final int FIRST_OCTET = 1;
    private static final int LAST_OCTET = 223;

    private final UniformRandomProvider mRandom;

    SyntheticBlocks(UniformRandomProvider random) {
        mRandom = random;
    }

    /**
     * Generates changes that add distinct blocks to random sites.
     *
     * @param count the number of blocks
     * @param longPrefixes whether all blocks are IPv6 blocks with prefixes longer than 64 bits
     * @return changes that add the blocks
     */
    List<ClientBlockChange> generate(int count, boolean longPrefixes) {
        Set<ClientBlock> blocks = new LinkedHashSet<>(2 * count);
        while (blocks.size() < count) {
            blocks.add(longPrefixes ? ipv6(IPV6_LONG_LENGTH) : randomBlock());
        }
        List<ClientBlockChange> changes = new ArrayList<>(count);
        for (ClientBlock block : blocks) {
            changes.add(new ClientBlockChange(block, Optional.of(randomSite())));
        }
        return changes;
    }

    SiteId randomSite() {
        return new SiteId("site-" + mRandom.nextInt(SITES));
    }

    static List<SiteId> sites() {
        List<SiteId> sites = new ArrayList<>();
        for (int i = 0; i < SITES; i++) {
            sites.add(new SiteId("site-" + i));
        }
        return sites;
    }

    /** Returns a random address from the same networks as the blocks. */
    ClientBlock randomAddress() {
        return mRandom.nextDouble() < IPV4_SHARE
                ? ipv4(AddressFamily.IPV4.bits())
                : ipv6(AddressFamily.IPV6.bits());
    }

    private ClientBlock randomBlock() {
        return mRandom.nextDouble() < IPV4_SHARE
                ? ipv4(IPV4_LENGTHS[mRandom.nextInt(IPV4_LENGTHS.length)])
                : ipv6(IPV6_LENGTHS[mRandom.nextInt(IPV6_LENGTHS.length)]);
    }

    private ClientBlock ipv4(int length) {
        long address =
                (long) (FIRST_OCTET + mRandom.nextInt(LAST_OCTET)) << (Long.SIZE - Byte.SIZE);
        address |= (long) (mRandom.nextInt() >>> Byte.SIZE) << Integer.SIZE;
        return new ClientBlock(AddressFamily.IPV4, address & mask(length), 0, length);
    }

    private ClientBlock ipv6(int length) {
        long group = (long) IPV6_FIRST_GROUP + mRandom.nextInt(IPV6_FIRST_GROUP_RANGE);
        long high = group << (Long.SIZE - Short.SIZE) | mRandom.nextLong() >>> Short.SIZE;
        long low = mRandom.nextLong() & mask(length - Long.SIZE);
        return new ClientBlock(AddressFamily.IPV6, high & mask(length), low, length);
    }

    private static long mask(int length) {
        if (length <= 0) {
            return 0;
        }
        return length >= Long.SIZE ? -1 : -1L << (Long.SIZE - length);
    }
}
