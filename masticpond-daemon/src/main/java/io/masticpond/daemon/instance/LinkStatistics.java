package io.masticpond.daemon.instance;

/**
 * Immutable snapshot of the counters of the links since their start.
 *
 * @param connections the number of connections that are ready now
 * @param calls the number of calls made
 * @param answersNotAwaited the number of answers dropped because their call had timed out or was
 *     already answered
 * @param answersDropped the number of answers to other instances dropped because the connection was
 *     closed
 * @param handshakesRefused the number of connections refused because of a key, version, name or
 *     incarnation
 * @param protocolErrors the number of connections closed because of a frame that violates the
 *     protocol
 * @param bytesRead the number of bytes read in frames
 * @param bytesWritten the number of bytes written in frames
 * @param controlBytesRead the part of the bytes read that belongs to connections of the control
 *     lane
 * @param controlBytesWritten the part of the bytes written that belongs to connections of the
 *     control lane
 * @since 0.1
 */
public record LinkStatistics(
        long connections,
        long calls,
        long answersNotAwaited,
        long answersDropped,
        long handshakesRefused,
        long protocolErrors,
        long bytesRead,
        long bytesWritten,
        long controlBytesRead,
        long controlBytesWritten) {}
