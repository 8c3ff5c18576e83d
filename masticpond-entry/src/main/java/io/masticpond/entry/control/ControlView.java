package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** The documents that an operator can ask for. */
enum ControlView {
    /** The instance itself, and how current its snapshot is. */
    STATUS {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return Either.right(from.status());
        }
    },
    /** The services with their rules and backend servers in numbers. */
    SERVICES {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return Either.right(from.fleet().services());
        }
    },
    /** The routes in force. */
    ROUTES {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return Either.right(from.fleet().routes());
        }
    },
    /** The backend servers with what is believed of each. */
    SERVERS(ControlView.SERVICE) {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return from.servers(question.parameter(SERVICE));
        }

        @Override
        boolean needsTraffic() {
            return true;
        }
    },
    /** The instances. */
    MEMBERS {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return Either.right(from.members());
        }
    },
    /** The evacuated zones. */
    EVACUATIONS {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return Either.right(from.fleet().evacuations());
        }
    },
    /** The retry budgets, and who keeps the pace of cold backend servers. */
    BUDGET {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return Either.right(from.budget());
        }

        @Override
        boolean needsTraffic() {
            return true;
        }
    },
    /** The requests under which servers ended; one of them may be released. */
    CRASHES(ControlView.FINGERPRINT) {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return Either.right(from.crashes());
        }

        @Override
        boolean needsTraffic() {
            return true;
        }

        @Override
        HttpMethod change() {
            return HttpMethod.DELETE;
        }
    },
    /** The workspaces with their rates, and whether their keys are proven to be the newest. */
    WORKSPACES {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return Either.right(from.workspaces());
        }

        @Override
        boolean needsTraffic() {
            return true;
        }
    },
    /** The decisions about a request, and the newest changes of what the instance believes. */
    TIMELINE(ControlView.REQUEST, ControlView.BELIEFS) {
        @Override
        Either<ControlProblem, ObjectNode> show(ControlRequest question, ControlDocuments from) {
            return from.timeline(question);
        }
    };

    static final String SERVICE = "service";
    static final String FINGERPRINT = "fingerprint";
    static final String REQUEST = "request";
    static final String BELIEFS = "beliefs";

    private final Set<String> mParameters;

    ControlView(String... parameters) {
        mParameters = Set.of(parameters);
    }

    /** Makes the document, or says why there is none. */
    abstract Either<ControlProblem, ObjectNode> show(
            ControlRequest question, ControlDocuments from);

    /** Tells whether the traffic thread has to be asked. */
    boolean needsTraffic() {
        return false;
    }

    /** Gives the method that changes something rather than reads it; GET if nothing can be. */
    HttpMethod change() {
        return HttpMethod.GET;
    }

    /** Names the parameters that the question may have. */
    Set<String> parameters() {
        return mParameters;
    }

    String path() {
        return ControlRequest.ROOT + name().toLowerCase(Locale.ROOT);
    }

    static Optional<ControlView> at(String path) {
        return Arrays.stream(values()).filter(view -> view.path().equals(path)).findFirst();
    }

    static List<String> paths() {
        return Arrays.stream(values()).map(ControlView::path).toList();
    }
}
