package io.masticpond.entry.replica;

import io.vavr.control.Either;
import java.util.function.Supplier;

/** Reads documents of which nothing is certain. */
final class DocumentParsing {

    private DocumentParsing() {}

    /**
     * Turns a refusal by a value type into a sentence, so that one document cannot stop the rest.
     *
     * @param <T> what is read
     * @param reading the reading
     * @return what was read, or one sentence that says what is wrong
     */
    static <T> Either<String, T> guard(Supplier<Either<String, T>> reading) {
        try {
            return reading.get();
        } catch (RuntimeException exception) {
            return Either.left(String.valueOf(exception.getMessage()));
        }
    }
}
