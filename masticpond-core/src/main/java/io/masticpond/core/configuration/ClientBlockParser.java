package io.masticpond.core.configuration;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.regex.Pattern;

/**
 * Parser and formatter of blocks in CIDR notation.
 *
 * <p>The text is verified to be numeric before it is passed to {@link InetAddress}, so that no name
 * server is ever queried.
 */
final class ClientBlockParser {

    private static final int MAXIMUM_TEXT_LENGTH = 49;
    private static final int IPV4_BYTES = 4;
    private static final int IPV6_BYTES = 16;
    private static final int MAPPED_PREFIX_BITS = 96;
    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
    private static final Pattern IPV4 = Pattern.compile("(?:" + OCTET + "\\.){3}" + OCTET);
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:]*:[0-9a-fA-F:.]*");
    private static final Pattern LENGTH = Pattern.compile("0|[1-9]\\d{0,2}");

    private ClientBlockParser() {}

    static Either<String, ClientBlock> parse(String text) {
        if (text == null || text.isEmpty() || text.length() > MAXIMUM_TEXT_LENGTH) {
            return Either.left("The text of a client block is empty or too long.");
        }
        int slash = text.indexOf('/');
        String addressText = slash < 0 ? text : text.substring(0, slash);
        byte[] address = address(addressText);
        if (address == null) {
            return Either.left("The address of a client block is no IP number.");
        }
        int bits = address.length * Byte.SIZE;
        if (slash < 0) {
            return Either.right(ClientBlock.of(address, bits));
        }
        String lengthText = text.substring(slash + 1);
        int offset = isMapped(addressText, address) ? MAPPED_PREFIX_BITS : 0;
        int length = LENGTH.matcher(lengthText).matches() ? Integer.parseInt(lengthText) : -1;
        if (length < offset || length > offset + bits) {
            return Either.left(
                    "The prefix length of a client block must be from "
                            + offset
                            + " to "
                            + (offset + bits)
                            + ".");
        }
        ClientBlock block = ClientBlock.of(address, length - offset);
        if (!block.contains(ClientBlock.of(address, bits)) || hasHostBits(block, address)) {
            return Either.left(
                    "A client block must have no bits set after its prefix; the block is "
                            + block
                            + ".");
        }
        return Either.right(block);
    }

    /** Determines whether an IPv4 address was written as an IPv6 address (RFC 4291, 2.5.5.2). */
    private static boolean isMapped(String text, byte[] address) {
        return address.length == IPV4_BYTES && text.indexOf(':') >= 0;
    }

    private static boolean hasHostBits(ClientBlock block, byte[] address) {
        ClientBlock single = ClientBlock.of(address, block.family().bits());
        return ClientBlock.compare(block.high(), block.low(), single.high(), single.low()) != 0;
    }

    /** Returns the bytes of an address, or {@code null} if the text is not a numeric IP address. */
    static byte[] address(String text) {
        boolean numeric = IPV4.matcher(text).matches() || IPV6.matcher(text).matches();
        if (!numeric) {
            return null;
        }
        try {
            return InetAddress.getByName(text).getAddress();
        } catch (UnknownHostException e) {
            return null;
        }
    }

    static String format(ClientBlock block) {
        ByteBuffer buffer = ByteBuffer.allocate(IPV6_BYTES);
        buffer.putLong(block.high()).putLong(block.low()).flip();
        byte[] address = new byte[block.family().bits() / Byte.SIZE];
        buffer.get(address);
        try {
            return InetAddress.getByAddress(address).getHostAddress() + "/" + block.length();
        } catch (UnknownHostException e) {
            throw new IllegalStateException("An address must have 4 or 16 bytes.", e);
        }
    }
}
