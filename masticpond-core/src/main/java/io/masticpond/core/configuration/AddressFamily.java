package io.masticpond.core.configuration;

/**
 * Version of the Internet Protocol to which an address belongs.
 *
 * @since 0.1
 */
public enum AddressFamily {
    /** Addresses of 32 bits. */
    IPV4(32),
    /** Addresses of 128 bits. */
    IPV6(128);

    private final int mBits;

    AddressFamily(int bits) {
        mBits = bits;
    }

    /**
     * Returns the number of bits of an address.
     *
     * @return 32 or 128
     */
    public int bits() {
        return mBits;
    }
}
