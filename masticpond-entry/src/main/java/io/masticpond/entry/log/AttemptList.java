package io.masticpond.entry.log;

import io.masticpond.core.id.BackendServerId;
import java.util.Arrays;
import java.util.Optional;

/** Ordered list of the attempts of one request; allocates no array before the first attempt. */
final class AttemptList {

    private static final int INITIAL_CAPACITY = 2;

    private Attempt[] mAttempts;
    private int mCount;

    void add(Attempt attempt) {
        if (mAttempts == null) {
            mAttempts = new Attempt[INITIAL_CAPACITY];
        } else if (mCount == mAttempts.length) {
            mAttempts = Arrays.copyOf(mAttempts, 2 * mCount);
        }
        mAttempts[mCount++] = attempt;
    }

    int size() {
        return mCount;
    }

    Attempt get(int index) {
        return mAttempts[index];
    }

    /** Returns the newest attempt at a server. */
    Optional<Attempt> lastAt(BackendServerId server) {
        for (int index = mCount - 1; index >= 0; index--) {
            if (server.equals(mAttempts[index].mServer)) {
                return Optional.of(mAttempts[index]);
            }
        }
        return Optional.empty();
    }

    /** Returns the newest attempt, or null if there is none. */
    Attempt last() {
        return mCount == 0 ? null : mAttempts[mCount - 1];
    }
}
