package io.masticpond.daemon.metrics;

import java.util.regex.Pattern;

/** Purpose of a thread, determined by its name. */
enum ThreadRole {
    /** Processes requests of callers. */
    REQUEST("request", "(steering|caller|backend|OkHttp|qtp).*"),
    /** Transports requests and heartbeats between instances. */
    LINKS("links", "instance-links.*"),
    /** Works for the virtual machine. */
    RUNTIME(
            "runtime",
            "Reference Handler|Finalizer|Signal Dispatcher|Common-Cleaner|Notification Thread"
                    + "|Attach Listener"),
    /** Works for control. Matches every name that no other role matches. */
    CONTROL("control", ".*");

    private final String mLabel;
    private final Pattern mNamePattern;

    ThreadRole(String label, String names) {
        mLabel = label;
        mNamePattern = Pattern.compile(names);
    }

    /** Returns the role of a thread by its name. */
    static ThreadRole ofThread(String name) {
        for (ThreadRole role : values()) {
            if (role.mNamePattern.matcher(name).matches()) {
                return role;
            }
        }
        return CONTROL;
    }

    /** Returns the value of the label. */
    String label() {
        return mLabel;
    }
}
