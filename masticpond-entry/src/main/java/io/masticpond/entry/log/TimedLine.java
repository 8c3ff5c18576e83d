package io.masticpond.entry.log;

/**
 * Line that is queued for writing.
 *
 * @param wallMillis the wall time of the logged event, in milliseconds since 1970
 * @param content the content of the line
 */
record TimedLine(long wallMillis, LineContent content) {}
