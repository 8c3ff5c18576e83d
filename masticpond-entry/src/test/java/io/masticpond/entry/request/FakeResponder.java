package io.masticpond.entry.request;

import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.http.Responder;
import java.util.ArrayList;
import java.util.List;

/** Keeps the answers given, and plays a client that goes. */
final class FakeResponder implements Responder {

    final List<OutgoingAnswer> mAnswers = new ArrayList<>();
    private Runnable mGone = () -> {};

    @Override
    public void answer(OutgoingAnswer answer) {
        mAnswers.add(answer);
    }

    @Override
    public void abort() {}

    @Override
    public void onClientDisconnected(Runnable action) {
        mGone = action;
    }

    @Override
    public boolean isClientDisconnected() {
        return false;
    }

    void leave() {
        mGone.run();
    }

    int status() {
        return mAnswers.get(0).status();
    }
}
