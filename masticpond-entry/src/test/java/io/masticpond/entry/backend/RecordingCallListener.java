package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.request.Verdict;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Listener that records the end of a call and fails if there is more than one. */
final class RecordingCallListener implements BackendCallListener {

    /** Answer with its body as text. */
    record Answer(int status, HttpHeaders headers, String body) {}

    private final CompletableFuture<Integer> mStatus = new CompletableFuture<>();
    private final CompletableFuture<Object> mEnd = new CompletableFuture<>();
    private volatile int mBodyComponents;
    private volatile boolean mKeepsBody;
    private int mEnds;

    /** Whether the request may still be written once a connection is available. */
    boolean mMayBegin = true;

    @Override
    public boolean canBegin() {
        return mMayBegin;
    }

    @Override
    public void answerBegan(int status, HttpHeaders headers) {
        mStatus.complete(status);
    }

    @Override
    public void answered(BackendAnswer answer) {
        String body = answer.body().toString(StandardCharsets.ISO_8859_1);
        mBodyComponents = answer.body().nioBufferCount();
        if (!mKeepsBody) {
            answer.body().release();
        }
        end(new Answer(answer.status(), answer.headers(), body));
    }

    @Override
    public void failed(CallFailure failure) {
        end(failure);
    }

    boolean isEnded() {
        return mEnd.isDone();
    }

    /** Waits until the head of the answer has been received. */
    void awaitHead() throws Exception {
        mStatus.get(60, TimeUnit.SECONDS);
    }

    /** Leaves the bytes of the body held, as for a client that does not read. */
    void keepBody() {
        mKeepsBody = true;
    }

    /** Returns of how many buffers the body of the answer consisted. */
    int bodyComponents() {
        return mBodyComponents;
    }

    Answer answer() throws Exception {
        Object end = mEnd.get(60, TimeUnit.SECONDS);
        assertThat(end).isInstanceOf(Answer.class);
        return (Answer) end;
    }

    void assertFailed(CallFailure.Kind kind, Verdict verdict) throws Exception {
        assertThat(mEnd.get(60, TimeUnit.SECONDS)).isEqualTo(new CallFailure(verdict, kind));
        assertThat(mEnds).isEqualTo(1);
    }

    private void end(Object end) {
        mEnds++;
        mEnd.complete(end);
    }
}
