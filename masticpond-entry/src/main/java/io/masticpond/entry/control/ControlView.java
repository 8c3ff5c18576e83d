package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The documents that an operator can request. */
enum ControlView {
    /** The instance itself, and how current its snapshot is. */
    STATUS {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return Either.right(documents.status());
        }
    },
    /** The services with their rules and the numbers of their backend servers. */
    SERVICES {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return Either.right(documents.fleet().services());
        }
    },
    /** The routes in force. */
    ROUTES {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return Either.right(documents.fleet().routes());
        }
    },
    /** The backend servers with this instance's view of each. */
    SERVERS(ControlView.SERVICE) {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return documents.servers(request.parameter(SERVICE));
        }

        @Override
        boolean needsTraffic() {
            return true;
        }
    },
    /** The load of each service, and the state of its load control. */
    LOAD(ControlView.SERVICE) {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return documents.load(request.parameter(SERVICE));
        }

        @Override
        boolean needsTraffic() {
            return true;
        }
    },
    /** The instances. */
    MEMBERS {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return Either.right(documents.members());
        }
    },
    /** The evacuated zones. */
    EVACUATIONS {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return Either.right(documents.fleet().evacuations());
        }
    },
    /**
     * The retry budgets, the spending of running shifts, and the instances that pace requests to
     * cold backend servers.
     */
    BUDGET {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return Either.right(documents.budget());
        }

        @Override
        boolean needsTraffic() {
            return true;
        }
    },
    /**
     * The requests during which backend servers terminated. A rejected one can be released by its
     * fingerprint.
     */
    CRASHES(ControlView.FINGERPRINT) {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return Either.right(documents.crashes());
        }

        @Override
        boolean needsTraffic() {
            return true;
        }

        @Override
        HttpMethod changeMethod() {
            return HttpMethod.DELETE;
        }
    },
    /** The workspaces with their rates, and whether their keys are proven to be the newest ones. */
    WORKSPACES {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return Either.right(documents.workspaces());
        }

        @Override
        boolean needsTraffic() {
            return true;
        }
    },
    /** The decisions about a request, and the newest changes of the instance's view. */
    TIMELINE(ControlView.REQUEST, ControlView.VIEW_CHANGES) {
        @Override
        Either<ControlProblem, ObjectNode> build(
                ControlRequest request, ControlDocuments documents) {
            return documents.timeline(request);
        }
    };

    static final String SERVICE = "service";
    static final String FINGERPRINT = "fingerprint";
    static final String REQUEST = "request";
    static final String VIEW_CHANGES = "beliefs";

    private final Set<String> mParameters;

    ControlView(String... parameters) {
        mParameters = Set.of(parameters);
    }

    /** Builds the document. */
    abstract Either<ControlProblem, ObjectNode> build(
            ControlRequest request, ControlDocuments documents);

    /** Determines whether the document needs a snapshot of the traffic thread. */
    boolean needsTraffic() {
        return false;
    }

    /**
     * Returns the HTTP method that changes state through this view, or GET if the view is
     * read-only.
     */
    HttpMethod changeMethod() {
        return HttpMethod.GET;
    }

    /** Returns the HTTP methods that this view allows. */
    List<HttpMethod> methods() {
        return Stream.of(HttpMethod.GET, changeMethod()).distinct().toList();
    }

    /** Returns the names of the query parameters that this view accepts. */
    Set<String> parameters() {
        return mParameters;
    }

    String path() {
        return ControlRequest.PATH_PREFIX + name().toLowerCase(Locale.ROOT);
    }

    static Optional<ControlView> forPath(String path) {
        return Arrays.stream(values()).filter(view -> view.path().equals(path)).findFirst();
    }

    static List<String> paths() {
        return Arrays.stream(values()).map(ControlView::path).toList();
    }
}
