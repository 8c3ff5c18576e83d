package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Validator of a whole content: references, duplicates, addresses, blocks, time zones and shifts.
 *
 * <p>All errors are reported together, with their paths.
 *
 * @since 0.1
 */
public final class ConfigurationValidator {

    private final ConfigurationContent mContent;
    private final List<ConfigurationFault> mFaults = new ArrayList<>();
    private final Set<RegionId> mRegions = new HashSet<>();
    private final Set<ZoneId> mZones = new HashSet<>();
    private final Set<SiteId> mSites = new HashSet<>();

    private ConfigurationValidator(ConfigurationContent content) {
        mContent = content;
    }

    /**
     * Validates a content.
     *
     * @param content the content
     * @return the errors; an empty list if the content is valid
     */
    public static List<ConfigurationFault> validate(ConfigurationContent content) {
        ConfigurationValidator validator = new ConfigurationValidator(content);
        validator.checkRegions();
        validator.checkLinks();
        validator.checkSites();
        validator.checkClientBlocks();
        validator.checkServices();
        return List.copyOf(validator.mFaults);
    }

    /** Returns an error for each duplicate entry. Validates nothing else. */
    static List<ConfigurationFault> duplicates(ConfigurationContent content) {
        ConfigurationValidator validator = new ConfigurationValidator(content);
        validator.checkUnique("$.regions", content.regions(), RegionSpecification::id);
        validator.checkUnique("$.links", content.links(), LinkKey::of);
        validator.checkUnique("$.services", content.services(), ServiceSpecification::id);
        validator.checkUnique("$.sites", content.sites(), SiteSpecification::id);
        validator.checkUnique(
                "$.clientBlocks", content.clientBlocks(), ClientBlockSpecification::block);
        return List.copyOf(validator.mFaults);
    }

    private void checkRegions() {
        List<RegionSpecification> regions = mContent.regions();
        checkUnique("$.regions", regions, RegionSpecification::id);
        for (int i = 0; i < regions.size(); i++) {
            mRegions.add(regions.get(i).id());
            for (ZoneId zone : regions.get(i).zones()) {
                check(
                        mZones.add(zone),
                        "$.regions[" + i + "].zones",
                        "The availability zone %s is stated twice.",
                        zone);
            }
        }
    }

    private void checkLinks() {
        List<LinkSpecification> links = mContent.links();
        checkUnique("$.links", links, LinkKey::of);
        for (int i = 0; i < links.size(); i++) {
            String path = "$.links[" + i + "]";
            LinkSpecification link = links.get(i);
            checkRegion(path + ".from", link.from());
            checkRegion(path + ".to", link.to());
            check(
                    !link.from().equals(link.to()),
                    path,
                    "A link must have two regions, but both are %s.",
                    link.from());
        }
    }

    private void checkSites() {
        List<SiteSpecification> sites = mContent.sites();
        checkUnique("$.sites", sites, SiteSpecification::id);
        for (int i = 0; i < sites.size(); i++) {
            mSites.add(sites.get(i).id());
            checkZone("$.sites[" + i + "].zone", sites.get(i).zone());
        }
    }

    private void checkClientBlocks() {
        Set<ClientBlock> known = new HashSet<>();
        for (int i = 0; i < mContent.clientBlocks().size(); i++) {
            String path = "$.clientBlocks[" + i + "]";
            ClientBlockSpecification specification = mContent.clientBlocks().get(i);
            check(
                    mSites.contains(specification.site()),
                    path + ".site",
                    "There is no site %s.",
                    specification.site());
            block(specification.block())
                    .peekLeft(message -> check(false, path + ".block", "%s", message))
                    .peek(
                            block ->
                                    check(
                                            known.add(block),
                                            path + ".block",
                                            "The client block %s is stated twice.",
                                            specification.block()));
        }
    }

    /**
     * Parses a block as operators configure it. In contrast to the addresses of clients, it must
     * have a prefix length.
     */
    private static Either<String, ClientBlock> block(String text) {
        return text.indexOf('/') < 0
                ? Either.left("A client block needs a slash and a prefix length.")
                : ClientBlock.parse(text);
    }

    private void checkServices() {
        List<ServiceSpecification> services = mContent.services();
        checkUnique("$.services", services, ServiceSpecification::id);
        ServiceValidator validator = new ServiceValidator(this);
        for (int i = 0; i < services.size(); i++) {
            validator.validate("$.services[" + i + "]", services.get(i));
        }
    }

    void checkRegion(String path, RegionId region) {
        check(mRegions.contains(region), path, "There is no region %s.", region);
    }

    void checkZone(String path, ZoneId zone) {
        check(mZones.contains(zone), path, "There is no availability zone %s.", zone);
    }

    <T> void checkUnique(String path, List<T> entries, Function<T, ?> name) {
        Set<Object> known = new HashSet<>();
        for (int i = 0; i < entries.size(); i++) {
            Object key = name.apply(entries.get(i));
            check(known.add(key), path + "[" + i + "]", "The name %s is stated twice.", key);
        }
    }

    void check(boolean condition, String path, String format, Object... arguments) {
        if (!condition) {
            mFaults.add(new ConfigurationFault(path, format.formatted(arguments)));
        }
    }
}
