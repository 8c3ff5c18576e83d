package io.masticpond.core.configuration;

import io.masticpond.core.id.BackendServerId;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Validator of the services of a content. Errors are added to the validator of the content. */
final class ServiceValidator {

    /**
     * The maximum length of a shift's name, which leaves room for the date in a {@link
     * io.masticpond.core.id.ShiftId}.
     */
    private static final int MAXIMUM_SHIFT_NAME_LENGTH = 40;

    private static final int MAXIMUM_PORT = 65_535;
    private static final long DAY_SECONDS = Duration.ofDays(1).toSeconds();

    private final ConfigurationValidator mParent;
    private final Set<BackendServerId> mBackendServers = new HashSet<>();
    private final Set<String> mAddresses = new HashSet<>();

    ServiceValidator(ConfigurationValidator parent) {
        mParent = parent;
    }

    void validate(String path, ServiceSpecification service) {
        mParent.checkUnique(
                path + ".operations", service.operations(), OperationSpecification::name);
        for (int i = 0; i < service.backendServers().size(); i++) {
            checkBackendServer(
                    path + ".backendServers[" + i + "]", service.backendServers().get(i));
        }
        mParent.checkUnique(path + ".prices", service.prices(), PriceSpecification::region);
        for (int i = 0; i < service.prices().size(); i++) {
            mParent.checkRegion(
                    path + ".prices[" + i + "].region", service.prices().get(i).region());
        }
        service.spending().ifPresent(spending -> checkSpending(path + ".spending", spending));
    }

    private void checkBackendServer(String path, BackendServerSpecification server) {
        mParent.checkZone(path + ".zone", server.zone());
        mParent.check(
                mBackendServers.add(server.id()),
                path + ".id",
                "The backend server %s is stated twice.",
                server.id());
        mParent.check(
                isAddress(server.address()),
                path + ".address",
                "An address must be an IP number with a port, but was '%s'.",
                server.address());
        mParent.check(
                mAddresses.add(server.address()),
                path + ".address",
                "The address %s is stated twice.",
                server.address());
    }

    private static boolean isAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return false;
        }
        String host = address.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        String literal = bracketed ? host.substring(1, host.length() - 1) : host;
        return bracketed == literal.contains(":")
                && ClientBlock.isAddress(literal)
                && isPort(address.substring(colon + 1));
    }

    private static boolean isPort(String port) {
        return port.matches("[1-9][0-9]{0,4}") && Integer.parseInt(port) <= MAXIMUM_PORT;
    }

    private void checkSpending(String path, SpendingSpecification spending) {
        mParent.check(
                isTimeZone(spending.timeZone()),
                path + ".timeZone",
                "There is no time zone '%s'.",
                spending.timeZone());
        List<ShiftSpecification> shifts = spending.shifts();
        mParent.checkUnique(path + ".shifts", shifts, ShiftSpecification::name);
        for (int i = 0; i < shifts.size(); i++) {
            String shiftPath = path + ".shifts[" + i + "]";
            checkShift(shiftPath, shifts.get(i));
            for (int j = 0; j < i; j++) {
                mParent.check(
                        !overlap(shifts.get(i), shifts.get(j)),
                        shiftPath,
                        "The shift %s overlaps the shift %s.",
                        shifts.get(i).name(),
                        shifts.get(j).name());
            }
        }
    }

    private void checkShift(String shiftPath, ShiftSpecification shift) {
        mParent.check(
                shift.name().length() <= MAXIMUM_SHIFT_NAME_LENGTH,
                shiftPath + ".name",
                "A shift name must have at most %d characters.",
                MAXIMUM_SHIFT_NAME_LENGTH);
        mParent.check(
                !shift.start().equals(shift.end()),
                shiftPath,
                "The shift %s must not start and end at the same time.",
                shift.name());
    }

    private static boolean isTimeZone(String name) {
        try {
            return ZoneId.of(name) != null;
        } catch (DateTimeException e) {
            return false;
        }
    }

    private static boolean overlap(ShiftSpecification first, ShiftSpecification second) {
        return secondsUntil(first.start(), second.start())
                        < secondsUntil(first.start(), first.end())
                || secondsUntil(second.start(), first.start())
                        < secondsUntil(second.start(), second.end());
    }

    /** Returns the seconds from one time of day to the next occurrence of another. */
    private static long secondsUntil(LocalTime from, LocalTime to) {
        return Math.floorMod((long) to.toSecondOfDay() - from.toSecondOfDay(), DAY_SECONDS);
    }
}
