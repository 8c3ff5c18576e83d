package io.masticpond.measure.hostile;

import java.util.List;

/** Strategy interface for feeding inputs to one interface through which data enters the process. */
interface HostileTarget extends AutoCloseable {

    /** Returns the name of this target in the report. */
    String name();

    /** Returns the valid inputs from which the generated inputs are derived. */
    List<byte[]> samples();

    /** Returns the number of inputs to feed. */
    int inputs();

    /**
     * Feeds one input and waits until it is processed; a refusal of the input is not a failure.
     *
     * @param input the input
     * @throws Exception if the process neither accepted nor refused the input
     */
    void feed(byte[] input) throws Exception;

    @Override
    default void close() throws Exception {}
}
