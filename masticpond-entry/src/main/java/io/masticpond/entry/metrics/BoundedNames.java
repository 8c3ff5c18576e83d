package io.masticpond.entry.metrics;

import java.util.HashMap;
import java.util.Map;

/**
 * Registry that assigns a number of its own to each of the first names that appear, and one common
 * number to all later ones, so that the number of labels is bounded whatever the configuration
 * holds. Safe for use by multiple threads.
 */
final class BoundedNames {

    /** Label of all names beyond the limit. */
    static final String OTHER = "other";

    private final int mLimit;
    private volatile Map<String, Integer> mNumbers = Map.of();

    BoundedNames(int limit) {
        mLimit = limit;
    }

    /** Returns the number of a name: from 0 up to the limit, which is the number of all others. */
    int numberOf(String name) {
        Integer number = mNumbers.get(name);
        return number != null ? number : admit(name);
    }

    /** Returns the label of a name: the name itself up to the limit, or the common one. */
    String label(String name) {
        return numberOf(name) == mLimit ? OTHER : name;
    }

    /** Returns the numbers by name, without the common number of all others. */
    Map<String, Integer> known() {
        return mNumbers;
    }

    private synchronized int admit(String name) {
        Integer number = mNumbers.get(name);
        if (number != null) {
            return number;
        }
        int next = mNumbers.size();
        if (next == mLimit) {
            return mLimit;
        }
        Map<String, Integer> numbers = new HashMap<>(mNumbers);
        numbers.put(name, next);
        mNumbers = numbers;
        return next;
    }
}
