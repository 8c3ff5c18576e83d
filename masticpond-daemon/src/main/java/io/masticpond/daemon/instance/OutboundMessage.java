package io.masticpond.daemon.instance;

import io.masticpond.protocol.generated.Envelope;

/** Message that waits to be sent to another instance. Confined to the event loop of the links. */
class OutboundMessage {

    private final Envelope mEnvelope;
    private final int mBytes;

    OutboundMessage(Envelope envelope) {
        mEnvelope = envelope;
        mBytes = envelope.getSerializedSize();
    }

    final Envelope envelope() {
        return mEnvelope;
    }

    final int bytes() {
        return mBytes;
    }

    /** Returns whether the sender no longer needs the message to be sent. */
    boolean isAbandoned() {
        return false;
    }

    /** Records that the first byte of the message may have been sent. */
    void writeBegan() {}

    /** Records that the message will not be written, or not completely. */
    void notWritten(String reason) {}
}
