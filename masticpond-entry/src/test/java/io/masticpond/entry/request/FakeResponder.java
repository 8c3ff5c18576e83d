package io.masticpond.entry.request;

import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.http.Responder;
import java.util.ArrayList;
import java.util.List;

/** Fake {@link Responder} that keeps the answers and simulates the disconnection of the client. */
final class FakeResponder implements Responder {

    final List<OutgoingAnswer> mAnswers = new ArrayList<>();
    private Runnable mDisconnectAction = () -> {};

    @Override
    public void answer(OutgoingAnswer answer) {
        mAnswers.add(answer);
    }

    @Override
    public void abort() {}

    @Override
    public void onClientDisconnected(Runnable action) {
        mDisconnectAction = action;
    }

    @Override
    public boolean isClientDisconnected() {
        return false;
    }

    void disconnect() {
        mDisconnectAction.run();
    }

    int status() {
        return mAnswers.get(0).status();
    }
}
