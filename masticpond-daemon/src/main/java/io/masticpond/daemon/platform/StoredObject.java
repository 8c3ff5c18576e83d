package io.masticpond.daemon.platform;

/**
 * Object as stored at the platform; the value must not be modified.
 *
 * @param key the key
 * @param version the version, which starts at 1 and increases with each write
 * @param value the value, at most one megabyte
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredObject(ObjectKey key, long version, byte[] value) {}
