package io.masticpond.entry.log;

import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Formatter of wall times such as 2026-12-02T06:00:01.250Z with a reused buffer. Date and time are
 * computed at most once per second of wall time. Not thread-safe.
 */
final class WallTimeText {

    private static final int LENGTH = "2026-12-02T06:00:01.250Z".length();
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int DECIMAL_BASE = 10;
    private static final int MILLIS_OFFSET = 20;
    private static final int YEAR_DIGITS = 4;

    private final char[] mText = new char[LENGTH];
    private long mSecond = Long.MIN_VALUE;

    /** Returns the text of a time, which is valid until the next call. */
    char[] of(long wallMillis) {
        long second = Math.floorDiv(wallMillis, (long) MILLIS_PER_SECOND);
        if (second != mSecond) {
            writeDateTime(LocalDateTime.ofEpochSecond(second, 0, ZoneOffset.UTC));
            mSecond = second;
        }
        writeDigits(MILLIS_OFFSET, 3, (int) Math.floorMod(wallMillis, (long) MILLIS_PER_SECOND));
        return mText;
    }

    private void writeDateTime(LocalDateTime time) {
        int offset = writeDigits(0, YEAR_DIGITS, time.getYear());
        mText[offset++] = '-';
        offset = writeDigits(offset, 2, time.getMonthValue());
        mText[offset++] = '-';
        offset = writeDigits(offset, 2, time.getDayOfMonth());
        mText[offset++] = 'T';
        offset = writeDigits(offset, 2, time.getHour());
        mText[offset++] = ':';
        offset = writeDigits(offset, 2, time.getMinute());
        mText[offset++] = ':';
        offset = writeDigits(offset, 2, time.getSecond());
        mText[offset] = '.';
        mText[LENGTH - 1] = 'Z';
    }

    private int writeDigits(int start, int count, int value) {
        int remaining = value;
        for (int offset = start + count - 1; offset >= start; offset--) {
            mText[offset] = (char) ('0' + remaining % DECIMAL_BASE);
            remaining /= DECIMAL_BASE;
        }
        return start + count;
    }
}
