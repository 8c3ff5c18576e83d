package io.masticpond.measure.hostile;

import java.util.List;
import java.util.function.Consumer;

/**
 * Target that passes each input to a document reader, which must not throw.
 *
 * @param name the name of this target in the report
 * @param samples valid inputs
 * @param inputs the number of inputs to feed
 * @param reader reads one input
 */
record DocumentTarget(String name, List<byte[]> samples, int inputs, Consumer<byte[]> reader)
        implements HostileTarget {

    @Override
    public void feed(byte[] input) {
        reader.accept(input);
    }
}
