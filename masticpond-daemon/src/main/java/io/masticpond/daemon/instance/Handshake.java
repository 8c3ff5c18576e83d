package io.masticpond.daemon.instance;

import com.google.protobuf.ByteString;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.Hello;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;

/**
 * Factory and verifier of the three Hello messages of a connection; see docs/PROTOCOL.md.
 *
 * <p>Each side proves that it knows the shared key with an HMAC over both challenges, both names,
 * the versions and the lane. The authenticated text includes the role, so that a proof cannot be
 * reflected.
 */
final class Handshake {

    private static final int CHALLENGE_BYTES = 32;
    private static final String DIALER = "masticpond-dialer";
    private static final String ACCEPTOR = "masticpond-acceptor";
    private static final SecureRandom sRandom = new SecureRandom();

    private final Incarnation mSelf;
    private final LinkSettings mSettings;

    Handshake(Incarnation self, LinkSettings settings) {
        mSelf = self;
        mSettings = settings;
    }

    /** Creates the first Hello of the dialer for the given lane. */
    Hello dial(Lane lane) {
        return newHello(mSettings.keys().inUse(), lane).build();
    }

    /**
     * Validates the first Hello of the dialer and returns the acceptor's Hello, or the reason for
     * the rejection.
     */
    Either<String, Hello> accept(Hello dialer) {
        Optional<String> fault = validate(dialer);
        if (fault.isPresent()) {
            return Either.left(fault.get());
        }
        Hello answer = newHello(dialer.getKeyId(), Lane.of(dialer.getLane())).build();
        return proof(ACCEPTOR, dialer, answer)
                .map(
                        proof ->
                                Either.<String, Hello>right(
                                        answer.toBuilder().setProof(proof).build()))
                .orElseGet(() -> Either.left(unknownKeyReason(dialer)));
    }

    /**
     * Validates the Hello of the acceptor and returns the dialer's Hello with its proof, or the
     * reason for the rejection.
     */
    Either<String, Hello> confirm(Hello dialer, Hello acceptor, Optional<InstanceId> expected) {
        Optional<String> fault = validate(acceptor);
        if (fault.isPresent()) {
            return Either.left(fault.get());
        }
        String name = acceptor.getInstance();
        if (expected.isPresent() && !name.equals(expected.get().value())) {
            return Either.left("The address of " + expected.get() + " is that of " + name + ".");
        }
        if (!isProofValid(ACCEPTOR, dialer, acceptor, acceptor.getProof())) {
            return Either.left("The proof of " + name + " is wrong.");
        }
        return proof(DIALER, dialer, acceptor)
                .map(
                        proof ->
                                Either.<String, Hello>right(
                                        dialer.toBuilder().setProof(proof).build()))
                .orElseGet(() -> Either.left(unknownKeyReason(dialer)));
    }

    /**
     * Verifies the proof of the dialer. Returns the reason for the rejection, or empty if it is
     * valid.
     */
    Optional<String> verify(Hello dialer, Hello acceptor, Hello proof) {
        boolean same = proof.toBuilder().clearProof().build().equals(dialer);
        if (same && isProofValid(DIALER, dialer, acceptor, proof.getProof())) {
            return Optional.empty();
        }
        return Optional.of("The proof of " + dialer.getInstance() + " is wrong.");
    }

    private Hello.Builder newHello(String keyId, Lane lane) {
        byte[] challenge = new byte[CHALLENGE_BYTES];
        sRandom.nextBytes(challenge);
        return Hello.newBuilder()
                .setInstance(mSelf.instance().value())
                .setIncarnation(mSelf.number())
                .setLowestVersion(mSettings.lowestVersion())
                .setHighestVersion(mSettings.highestVersion())
                .setChallenge(ByteString.copyFrom(challenge))
                .setKeyId(keyId)
                .setLane(lane.kind());
    }

    private Optional<String> validate(Hello hello) {
        if (hello.getLowestVersion() > mSettings.highestVersion()
                || hello.getHighestVersion() < mSettings.lowestVersion()) {
            return Optional.of(
                    String.format(
                            "Versions %d to %d are spoken here, %d to %d there.",
                            mSettings.lowestVersion(),
                            mSettings.highestVersion(),
                            hello.getLowestVersion(),
                            hello.getHighestVersion()));
        }
        if (hello.getChallenge().size() != CHALLENGE_BYTES) {
            return Optional.of("The challenge has the wrong size.");
        }
        if (!isValidPeer(hello) || hello.getInstance().equals(mSelf.instance().value())) {
            return Optional.of("The instance '" + hello.getInstance() + "' cannot be a peer.");
        }
        return Optional.empty();
    }

    private static boolean isValidPeer(Hello hello) {
        try {
            return new Incarnation(new InstanceId(hello.getInstance()), hello.getIncarnation())
                            .number()
                    > 0;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static String unknownKeyReason(Hello dialer) {
        return "The key '" + dialer.getKeyId() + "' is not on the ring.";
    }

    private boolean isProofValid(String role, Hello dialer, Hello acceptor, ByteString proof) {
        return proof(role, dialer, acceptor)
                .map(own -> MessageDigest.isEqual(own.toByteArray(), proof.toByteArray()))
                .orElse(false);
    }

    private Optional<ByteString> proof(String role, Hello dialer, Hello acceptor) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(text)) {
            out.writeUTF(role);
            writeTo(out, dialer);
            writeTo(out, acceptor);
        } catch (IOException e) {
            throw new IllegalStateException("Writing to an in-memory buffer failed.", e);
        }
        return mSettings
                .keys()
                .authenticate(dialer.getKeyId(), text.toByteArray())
                .map(ByteString::copyFrom);
    }

    private static void writeTo(DataOutputStream out, Hello hello) throws IOException {
        out.writeUTF(hello.getInstance());
        out.writeLong(hello.getIncarnation());
        out.writeInt(hello.getLowestVersion());
        out.writeInt(hello.getHighestVersion());
        out.writeInt(hello.getLaneValue());
        out.writeUTF(hello.getKeyId());
        out.write(hello.getChallenge().toByteArray());
    }
}
