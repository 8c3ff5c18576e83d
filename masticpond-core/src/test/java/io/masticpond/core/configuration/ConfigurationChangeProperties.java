package io.masticpond.core.configuration;

import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Verifies that applying the change between two contents to one of them results in the other. */
class ConfigurationChangeProperties {

    @Property(tries = 1_000, seed = "14")
    void appliedChangeResultsInContent(
            @ForAll @Size(max = 12) Set<@IntRange(max = 60) Integer> first,
            @ForAll @Size(max = 12) Set<@IntRange(max = 60) Integer> second) {
        ConfigurationContent before = content(first);
        ConfigurationContent after = content(second);
        ConfigurationChange change = ConfigurationChange.between(before, after);
        ConfigurationContent result = change.applyTo(before);
        Assert.isTrue(
                new HashSet<>(result.sites()).equals(new HashSet<>(after.sites()))
                        && result.sites().size() == after.sites().size(),
                "%s led to %s instead of %s.",
                change,
                result,
                after);
        Assert.isTrue(
                ConfigurationDifferences.between(result, result).isEmpty()
                        && ConfigurationChange.between(result, result).isEmpty(),
                "A content differs from itself.");
    }

    /**
     * Creates a content whose numbers select the names and values, so that entries are added,
     * removed and changed.
     */
    private static ConfigurationContent content(Set<Integer> numbers) {
        Set<Integer> names = new HashSet<>();
        List<SiteSpecification> sites =
                numbers.stream()
                        .filter(number -> names.add(number % 20))
                        .map(
                                number ->
                                        new SiteSpecification(
                                                new SiteId("s" + number % 20),
                                                new ZoneId("z" + number / 20)))
                        .toList();
        return new ConfigurationContent(List.of(), List.of(), List.of(), sites, List.of());
    }
}
