package io.masticpond.core.capacity;

/** Results of the requests of a group of callers. */
final class Served {

    int mOffered;
    int mInTime;
    int mLate;

    void add(Served other) {
        mOffered += other.mOffered;
        mInTime += other.mInTime;
        mLate += other.mLate;
    }

    double inTime() {
        return (double) mInTime / mOffered;
    }

    double served() {
        return (double) (mInTime + mLate) / mOffered;
    }

    @Override
    public String toString() {
        return String.format("%d: %.3f in time, %.3f served", mOffered, inTime(), served());
    }
}
