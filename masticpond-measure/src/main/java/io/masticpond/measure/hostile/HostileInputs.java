package io.masticpond.measure.hostile;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generator of inputs by seeded mutations of valid samples; some consist of random bytes only. */
final class HostileInputs {

    private static final int MAXIMUM_MUTATIONS = 4;
    private static final int RANDOM_INTERVAL = 20;
    private static final int MAXIMUM_RANDOM_BYTES = 300;
    private static final int TOKEN_REPETITIONS = 2_000;
    private static final int REPEAT_INTERVAL = 200;
    private static final int MAXIMUM_RANGE_BYTES = 24;
    private static final int BYTE_VALUES = 256;
    private static final List<String> TOKENS =
            List.of(
                    "\"",
                    "'",
                    "\\",
                    "{",
                    "}",
                    "[",
                    "]",
                    ":",
                    ",",
                    "null",
                    "true",
                    "-1",
                    "0",
                    "1e999",
                    "-0",
                    "9223372036854775808",
                    "18446744073709551616",
                    "NaN",
                    "../",
                    "%2f",
                    "%00",
                    "%",
                    "\u0000",
                    "\uffff",
                    "\ud800",
                    "/*",
                    "//",
                    "\r\n",
                    "\n\n",
                    ";",
                    "?",
                    "&",
                    "=",
                    "#",
                    "*",
                    " ",
                    "\t",
                    "127.0.0.1",
                    "::",
                    "/129",
                    "/33",
                    "1.1.1.1.1",
                    "Transfer-Encoding: chunked\r\n",
                    "Content-Length: -1\r\n",
                    "Content-Length: 99999999999\r\n",
                    "Expect: 100-continue\r\n",
                    "HTTP/9.9",
                    "https://example.org/",
                    "$ref",
                    "__proto__",
                    "é",
                    "ﷺ",
                    "😀");

    private final UniformRandomProvider mRandom;

    HostileInputs(long seed) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns the next input, generated from one of the samples. */
    byte[] next(List<byte[]> samples) {
        if (mRandom.nextInt(RANDOM_INTERVAL) == 0) {
            byte[] bytes = new byte[mRandom.nextInt(MAXIMUM_RANDOM_BYTES)];
            mRandom.nextBytes(bytes);
            return bytes;
        }
        byte[] input = samples.get(mRandom.nextInt(samples.size()));
        if (mRandom.nextInt(REPEAT_INTERVAL) == 0) {
            return repeat(input);
        }
        int mutations = 1 + mRandom.nextInt(MAXIMUM_MUTATIONS);
        for (int i = 0; i < mutations; i++) {
            input = mutate(input);
        }
        return input;
    }

    private byte[] mutate(byte[] input) {
        int position = mRandom.nextInt(input.length + 1);
        int end = Math.min(input.length, position + mRandom.nextInt(MAXIMUM_RANGE_BYTES));
        byte[] range = Arrays.copyOfRange(input, position, end);
        return switch (mRandom.nextInt(6)) {
            case 0 -> splice(input, position, end, new byte[0]);
            case 1 -> splice(input, position, position, range);
            case 2 -> splice(input, position, Math.min(input.length, position + 1), randomByte());
            case 3 -> splice(input, position, end, token());
            case 4 -> splice(input, position, position, token());
            default -> Arrays.copyOf(input, position);
        };
    }

    private byte[] repeat(byte[] input) {
        byte[] token = token();
        byte[] repeated = new byte[token.length * TOKEN_REPETITIONS];
        for (int i = 0; i < TOKEN_REPETITIONS; i++) {
            System.arraycopy(token, 0, repeated, i * token.length, token.length);
        }
        int position = mRandom.nextInt(input.length + 1);
        return splice(input, position, position, repeated);
    }

    private byte[] token() {
        return TOKENS.get(mRandom.nextInt(TOKENS.size())).getBytes(StandardCharsets.UTF_8);
    }

    private byte[] randomByte() {
        return new byte[] {(byte) mRandom.nextInt(BYTE_VALUES)};
    }

    private static byte[] splice(byte[] input, int from, int to, byte[] insert) {
        byte[] result = new byte[input.length - (to - from) + insert.length];
        System.arraycopy(input, 0, result, 0, from);
        System.arraycopy(insert, 0, result, from, insert.length);
        System.arraycopy(input, to, result, from + insert.length, input.length - to);
        return result;
    }
}
