package io.masticpond.testing.platform;

/**
 * Object of the stand-in platform.
 *
 * @param name name, unique within its kind
 * @param version version, which rises with each write, also across a deletion
 * @param value content; must not be modified
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlatformObject(String name, long version, byte[] value) {}
