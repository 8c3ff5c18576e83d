package io.masticpond.entry.replica;

import io.vavr.control.Either;
import java.util.function.Supplier;

/** Utility methods for parsing untrusted documents. */
final class DocumentParsing {

    private DocumentParsing() {}

    /**
     * Converts an exception of a value type into an error message, so that one document cannot stop
     * the processing of the others.
     *
     * @param <T> the type of the result
     * @param reading the parser to run
     * @return the result, or one sentence that describes the error
     */
    static <T> Either<String, T> guard(Supplier<Either<String, T>> reading) {
        try {
            return reading.get();
        } catch (RuntimeException exception) {
            return Either.left(String.valueOf(exception.getMessage()));
        }
    }
}
