package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Hello;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;

/**
 * Stand-in for the peer of a link that uses a plain blocking socket, with which a test can violate
 * the protocol.
 */
final class RawPeer implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 60_000;

    private final Handshake mHandshake;
    private final ServerSocket mServer;
    private Socket mSocket;
    private DataInputStream mIn;
    private DataOutputStream mOut;

    RawPeer(InstanceId id, long incarnation, LinkSettings settings) {
        mHandshake = new Handshake(new Incarnation(id, incarnation), settings);
        try {
            mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            mServer.setSoTimeout(TIMEOUT_MILLIS);
            mServer.setReceiveBufferSize(4_096);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Accepts a connection without a handshake. */
    RawPeer acceptSocket() throws IOException {
        return useSocket(mServer.accept());
    }

    /** Accepts a connection and completes the handshake. */
    RawPeer accept() throws IOException {
        acceptSocket();
        Hello dialer = read().getHello();
        send(mHandshake.accept(dialer).get());
        read();
        return this;
    }

    /** Connects without a handshake. */
    RawPeer dialSocket(InetSocketAddress address) throws IOException {
        return useSocket(new Socket(address.getAddress(), address.getPort()));
    }

    /** Connects and completes the handshake. */
    RawPeer dial(InetSocketAddress address) throws IOException {
        dialSocket(address);
        Hello hello = mHandshake.dial(Lane.BULK);
        send(hello);
        send(mHandshake.confirm(hello, read().getHello(), Optional.empty()).get());
        return this;
    }

    Hello hello() {
        return mHandshake.dial(Lane.BULK);
    }

    void send(Hello hello) throws IOException {
        send(Envelope.newBuilder().setHello(hello).build());
    }

    void send(Envelope envelope) throws IOException {
        byte[] bytes = envelope.toByteArray();
        mOut.writeInt(bytes.length);
        mOut.write(bytes);
        mOut.flush();
    }

    /** Sends the first half of a frame. */
    void sendPart(Envelope envelope) throws IOException {
        byte[] bytes = envelope.toByteArray();
        mOut.writeInt(bytes.length);
        mOut.write(bytes, 0, bytes.length / 2);
        mOut.flush();
    }

    void sendLength(int length) throws IOException {
        mOut.writeInt(length);
        mOut.flush();
    }

    void sendBytes(byte[] bytes) throws IOException {
        mOut.writeInt(bytes.length);
        mOut.write(bytes);
        mOut.flush();
    }

    /** Reads the next envelope that is not a ping. */
    Envelope read() throws IOException {
        while (true) {
            byte[] bytes = new byte[mIn.readInt()];
            mIn.readFully(bytes);
            Envelope envelope = Envelope.parseFrom(bytes);
            if (envelope.getBodyCase() != Envelope.BodyCase.BODY_NOT_SET) {
                return envelope;
            }
        }
    }

    /**
     * Reads until the other side closes the connection; returns whether it did so before the
     * timeout.
     */
    boolean isClosed() {
        try {
            while (mIn.read() >= 0) {
                continue;
            }
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    void closeSocket() throws IOException {
        mSocket.close();
    }

    private RawPeer useSocket(Socket socket) throws IOException {
        mSocket = socket;
        mSocket.setSoTimeout(TIMEOUT_MILLIS);
        mIn = new DataInputStream(socket.getInputStream());
        mOut = new DataOutputStream(socket.getOutputStream());
        return this;
    }

    @Override
    public void close() {
        try {
            mServer.close();
            if (mSocket != null) {
                mSocket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
