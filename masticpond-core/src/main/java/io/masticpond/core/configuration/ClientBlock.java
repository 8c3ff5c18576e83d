package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.nio.ByteBuffer;

/**
 * Block of client addresses. A single address is represented as the block that contains only
 * itself.
 *
 * @param family the address family
 * @param high the first 64 bits of the first address; an IPv4 address is in the upper 32
 * @param low the last 64 bits of the first address; 0 for IPv4
 * @param length the number of leading bits that all addresses of the block share
 * @since 0.1
 */
public record ClientBlock(AddressFamily family, long high, long low, int length)
        implements Comparable<ClientBlock> {

    private static final int IPV4_SHIFT = 32;
    private static final int HALF_BITS = Long.SIZE;
    private static final int IPV4_BYTES = 4;

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the length is out of range or a bit after it is set
     */
    public ClientBlock {
        Assert.notNull(family, "An address family");
        Assert.isTrue(
                length >= 0 && length <= family.bits(),
                "A prefix length must be from 0 to %d, but was %d.",
                family.bits(),
                length);
        Assert.isTrue(
                (high & ~highMask(length)) == 0 && (low & ~lowMask(length)) == 0,
                "A block must have no bits set after its prefix of %d bits.",
                length);
    }

    /**
     * Parses an address or a block in CIDR notation (RFC 4632, RFC 4291). Never queries a name
     * server.
     *
     * @param text such as "10.1.0.0/16", "2001:db8::/32" or "10.1.2.3"
     * @return the block, or a sentence that describes the error in the text
     */
    public static Either<String, ClientBlock> parse(String text) {
        return ClientBlockParser.parse(text);
    }

    /**
     * Determines whether a text is a numeric IP address, without querying a name server.
     *
     * @param text the text
     * @return {@code true} if the text is a numeric IP address
     */
    public static boolean isAddress(String text) {
        return ClientBlockParser.address(text) != null;
    }

    /**
     * Creates the block of the addresses that share a prefix with the given address.
     *
     * @param address the 4 or 16 bytes of an address; bits after the prefix are cleared
     * @param length the length of the prefix in bits
     * @return the block
     */
    public static ClientBlock of(byte[] address, int length) {
        ByteBuffer buffer = ByteBuffer.wrap(address);
        if (address.length == IPV4_BYTES) {
            long high = (long) buffer.getInt() << IPV4_SHIFT;
            return new ClientBlock(AddressFamily.IPV4, high & highMask(length), 0, length);
        }
        long high = buffer.getLong();
        long low = buffer.getLong();
        return new ClientBlock(
                AddressFamily.IPV6, high & highMask(length), low & lowMask(length), length);
    }

    /**
     * Determines whether this block contains every address of another block.
     *
     * @param other the other block
     * @return {@code true} if the other block is equal to this one or contained in it
     */
    public boolean contains(ClientBlock other) {
        return family == other.family
                && length <= other.length
                && contains(high, low, length, other.high, other.low);
    }

    /**
     * Determines whether a block contains an address, both given in the components of {@link
     * ClientBlock}.
     *
     * @param high the first 64 bits of the block
     * @param low its last 64 bits
     * @param length the length of its prefix
     * @param otherHigh the first 64 bits of the address
     * @param otherLow its last 64 bits
     * @return {@code true} if the address is in the block
     */
    public static boolean contains(long high, long low, int length, long otherHigh, long otherLow) {
        return ((high ^ otherHigh) & highMask(length)) == 0
                && ((low ^ otherLow) & lowMask(length)) == 0;
    }

    private static long highMask(int length) {
        if (length >= HALF_BITS) {
            return -1L;
        }
        return length == 0 ? 0 : -1L << (HALF_BITS - length);
    }

    private static long lowMask(int length) {
        return length <= HALF_BITS ? 0 : -1L << (2 * HALF_BITS - length);
    }

    /**
     * Compares by family, first address and length, so that a block precedes the blocks that it
     * contains.
     */
    @Override
    public int compareTo(ClientBlock other) {
        if (family != other.family) {
            return family.compareTo(other.family);
        }
        int order = compare(high, low, other.high, other.low);
        return order != 0 ? order : Integer.compare(length, other.length);
    }

    /**
     * Compares two addresses of the same family, given in the components of {@link ClientBlock}.
     *
     * @param high the first 64 bits of the first address
     * @param low its last 64 bits
     * @param otherHigh the first 64 bits of the second address
     * @param otherLow its last 64 bits
     * @return a negative number, 0 or a positive number if the first address is lower than, equal
     *     to or higher than the second
     */
    public static int compare(long high, long low, long otherHigh, long otherLow) {
        int order = Long.compareUnsigned(high, otherHigh);
        return order != 0 ? order : Long.compareUnsigned(low, otherLow);
    }

    @Override
    public String toString() {
        return ClientBlockParser.format(this);
    }
}
