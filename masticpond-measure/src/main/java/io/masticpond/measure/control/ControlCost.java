package io.masticpond.measure.control;

/**
 * Cost of the control plane for one daemon, in a deployment of one size.
 *
 * @param peers the number of other daemons
 * @param connections the mean number of connections of one daemon
 * @param processorPercent the processor time as a share of one core, in percent
 * @param bytesPerSecond the bytes in frames that it sends and receives per second
 * @param heapKilobytes the heap that it holds, in units of 1,024 bytes; an estimate, because all
 *     daemons share one process
 */
record ControlCost(
        int peers,
        double connections,
        double processorPercent,
        double bytesPerSecond,
        double heapKilobytes) {}
