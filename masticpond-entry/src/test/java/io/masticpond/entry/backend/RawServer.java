package io.masticpond.entry.backend;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Stand-in for a backend server whose connections are controlled by the test. */
final class RawServer implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 60_000;
    private static final int BACKLOG = 4;

    private final ServerSocket mSocket;

    RawServer() throws IOException {
        mSocket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        mSocket.setSoTimeout(TIMEOUT_MILLIS);
    }

    int port() {
        return mSocket.getLocalPort();
    }

    Connection accept() throws IOException {
        return new Connection(mSocket.accept());
    }

    /** Fills the accept queue, so that no further connection opens until the result is closed. */
    AutoCloseable fill() throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int each = 0; each <= BACKLOG; each++) {
            sockets.add(new Socket(mSocket.getInetAddress(), port()));
        }
        return () -> {
            for (Socket socket : sockets) {
                socket.close();
                mSocket.accept().close();
            }
        };
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    /** Accepted connection. */
    static final class Connection {

        private final Socket mConnection;
        private final InputStream mInput;

        Connection(Socket connection) throws IOException {
            mConnection = connection;
            mConnection.setSoTimeout(TIMEOUT_MILLIS);
            mInput = connection.getInputStream();
        }

        /** Reads a head up to and including its empty line. */
        String readHead() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int each = mInput.read();
                if (each < 0) {
                    throw new IOException("The connection ended after: " + head);
                }
                head.append((char) each);
            }
            return head.toString();
        }

        String readBody(int length) throws IOException {
            return new String(mInput.readNBytes(length), StandardCharsets.ISO_8859_1);
        }

        /** Returns whether the other side ended the connection without sending another byte. */
        boolean isEnded() throws IOException {
            return mInput.read() < 0;
        }

        Connection send(String text) throws IOException {
            mConnection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Sends a complete answer with the given id. */
        Connection answer(String id, String body) throws IOException {
            return send(Answers.complete(id, "", body));
        }

        void endOutput() throws IOException {
            mConnection.shutdownOutput();
        }

        void close() throws IOException {
            mConnection.close();
        }

        void reset() throws IOException {
            mConnection.setSoLinger(true, 0);
            mConnection.close();
        }
    }
}
