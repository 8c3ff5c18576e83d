package io.masticpond.daemon.steering;

/**
 * Header field of a request or an answer.
 *
 * @param name the name, case-insensitive
 * @param value the value
 * @since 0.1
 */
public record HeaderField(String name, String value) {}
