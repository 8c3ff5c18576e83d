package io.masticpond.daemon.configuration;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compression of documents for links and the platform (RFC 1950), with a bound on the inflated
 * size.
 */
final class DeflatedDocument {

    /** The maximum size of an inflated document, in bytes. */
    static final int MAXIMUM_BYTES = 128 << 20;

    private static final int BUFFER_BYTES = 16 << 10;

    private DeflatedDocument() {}

    static byte[] deflate(byte[] document) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(document);
            deflater.finish();
            ByteArrayOutputStream output = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return output.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /** Returns the inflated document, or the reason why it cannot be inflated, as one sentence. */
    static Either<String, byte[]> inflate(byte[] deflated, int maximumBytes) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            return inflate(inflater, maximumBytes);
        } catch (DataFormatException e) {
            return Either.left("The document is not deflated.");
        } finally {
            inflater.end();
        }
    }

    private static Either<String, byte[]> inflate(Inflater inflater, int maximumBytes)
            throws DataFormatException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        while (!inflater.finished()) {
            int count = inflater.inflate(buffer);
            if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                return Either.left("The deflated document is cut short.");
            }
            if (output.size() + count > maximumBytes) {
                return Either.left("The document is larger than " + maximumBytes + " bytes.");
            }
            output.write(buffer, 0, count);
        }
        return Either.right(output.toByteArray());
    }
}
