package io.masticpond.core.lookup;

import io.masticpond.core.configuration.AddressFamily;
import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.ClientBlockSpecification;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Table that maps clients to sites by the longest matching block, for IPv4 and IPv6.
 *
 * <p>Immutable and therefore thread-safe; a change creates a new table while readers continue to
 * use the old one. Takes 15 bytes per block, 23 if any prefix of its family is longer than 64 bits.
 *
 * @since 0.1
 */
public final class ClientBlockTable {

    /** Maximum number of sites that blocks may point to. */
    public static final int MAXIMUM_SITES = 65_535;

    /** Empty table. */
    public static final ClientBlockTable EMPTY =
            new ClientBlockTable(List.of(), new EnumMap<>(AddressFamily.class));

    private final List<SiteId> mSites;
    private final Map<AddressFamily, BlockArray> mArrays;

    private ClientBlockTable(List<SiteId> sites, Map<AddressFamily, BlockArray> arrays) {
        mSites = List.copyOf(sites);
        mArrays = arrays;
    }

    /**
     * Creates a table from the configured blocks.
     *
     * @param specifications the blocks in any order
     * @return the table, or the first error found
     */
    public static Either<LookupError, ClientBlockTable> of(
            List<ClientBlockSpecification> specifications) {
        List<ClientBlockChange> changes = new ArrayList<>(specifications.size());
        for (ClientBlockSpecification specification : specifications) {
            Either<String, ClientBlock> block = ClientBlock.parse(specification.block());
            if (block.isLeft()) {
                return Either.left(
                        new LookupError.InvalidBlock(specification.block(), block.getLeft()));
            }
            changes.add(new ClientBlockChange(block.get(), Optional.of(specification.site())));
        }
        return EMPTY.with(changes);
    }

    /**
     * Creates a table with some blocks added, mapped to another site or removed.
     *
     * @param changes the changes in any order, at most one for each block
     * @return the new table, or the first error found
     */
    public Either<LookupError, ClientBlockTable> with(List<ClientBlockChange> changes) {
        List<ClientBlockChange> ordered = new ArrayList<>(changes);
        ordered.sort((first, second) -> first.block().compareTo(second.block()));
        for (int i = 1; i < ordered.size(); i++) {
            if (ordered.get(i).block().equals(ordered.get(i - 1).block())) {
                return Either.left(new LookupError.DuplicateBlock(ordered.get(i).block()));
            }
        }
        Map<SiteId, Integer> numbers = numberSites(ordered);
        if (numbers.size() > MAXIMUM_SITES) {
            return Either.left(new LookupError.TooManySites(numbers.size()));
        }
        Map<AddressFamily, BlockArray> arrays = new EnumMap<>(AddressFamily.class);
        for (AddressFamily family : AddressFamily.values()) {
            arrays.put(family, merge(array(family), changesOf(family, ordered), numbers));
        }
        return Either.right(new ClientBlockTable(List.copyOf(numbers.keySet()), arrays));
    }

    private Map<SiteId, Integer> numberSites(List<ClientBlockChange> changes) {
        Map<SiteId, Integer> numbers = new LinkedHashMap<>();
        mSites.forEach(site -> numbers.put(site, numbers.size()));
        for (ClientBlockChange change : changes) {
            change.site().ifPresent(site -> numbers.putIfAbsent(site, numbers.size()));
        }
        return numbers;
    }

    private static List<ClientBlockChange> changesOf(
            AddressFamily family, List<ClientBlockChange> changes) {
        return changes.stream().filter(change -> change.block().family() == family).toList();
    }

    private static BlockArray merge(
            BlockArray before, List<ClientBlockChange> changes, Map<SiteId, Integer> numbers) {
        if (changes.isEmpty()) {
            return before;
        }
        boolean hasLows =
                before.hasLows() || changes.stream().anyMatch(each -> each.block().low() != 0);
        BlockArrayBuilder builder = new BlockArrayBuilder(sizeAfter(before, changes), hasLows);
        int copied = 0;
        for (ClientBlockChange change : changes) {
            int index = before.lowerBound(change.block());
            before.copyTo(builder, copied, index);
            copied = before.isAt(index, change.block()) ? index + 1 : index;
            change.site().ifPresent(site -> builder.add(change.block(), numbers.get(site)));
        }
        before.copyTo(builder, copied, before.size());
        return builder.build();
    }

    private static int sizeAfter(BlockArray before, List<ClientBlockChange> changes) {
        int size = before.size();
        for (ClientBlockChange change : changes) {
            size += change.site().isPresent() ? 1 : 0;
            size -= before.isAt(before.lowerBound(change.block()), change.block()) ? 1 : 0;
        }
        return size;
    }

    /**
     * Returns the site of a client by the longest block that contains it.
     *
     * @param client the client's address or block
     * @return the site, or empty if no block contains the client
     */
    public Optional<SiteId> find(ClientBlock client) {
        BlockArray array = array(client.family());
        int index = array.find(client.high(), client.low(), client.length());
        return index == BlockArray.NONE
                ? Optional.empty()
                : Optional.of(mSites.get(array.site(index)));
    }

    /**
     * Returns the number of blocks.
     *
     * @return the number for both families together
     */
    public int size() {
        return mArrays.values().stream().mapToInt(BlockArray::size).sum();
    }

    /**
     * Returns the size of the arrays in bytes.
     *
     * @return the size, without the names of the sites
     */
    public long bytes() {
        return mArrays.values().stream().mapToLong(BlockArray::bytes).sum();
    }

    private BlockArray array(AddressFamily family) {
        return mArrays.getOrDefault(Assert.notNull(family, "A family"), BlockArray.EMPTY);
    }
}
