package io.masticpond.core.lookup;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.ClientBlockSpecification;
import io.masticpond.core.id.SiteId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Compares the longest prefix match with a linear search, also after changes. */
final class ClientBlockTableProperties {

    private static final int SITES = 5;

    /**
     * Provides blocks of few distinct bytes and lengths, so that they are often nested and
     * repeated.
     */
    @Provide
    static Arbitrary<List<ClientBlockChange>> changes() {
        Arbitrary<Byte> few = Arbitraries.of((byte) 0, (byte) 1, (byte) 0x80, (byte) 0xff);
        Arbitrary<ClientBlock> ipv4 =
                Combinators.combine(
                                few.array(byte[].class).ofSize(4),
                                Arbitraries.integers().between(0, 32))
                        .as(ClientBlock::of);
        Arbitrary<ClientBlock> ipv6 =
                Combinators.combine(
                                few.array(byte[].class).ofSize(16),
                                Arbitraries.of(0, 1, 32, 48, 63, 64, 65, 127, 128))
                        .as(ClientBlock::of);
        Arbitrary<Optional<SiteId>> sites =
                Arbitraries.integers()
                        .between(0, SITES)
                        .map(
                                number ->
                                        number == SITES
                                                ? Optional.empty()
                                                : Optional.of(new SiteId("site-" + number)));
        return Combinators.combine(Arbitraries.oneOf(ipv4, ipv6), sites)
                .as(ClientBlockChange::new)
                .list()
                .ofMaxSize(60)
                .uniqueElements(ClientBlockChange::block);
    }

    @Property(seed = "421", tries = 500)
    void findsSameSiteAsLinearSearch(
            @ForAll("changes") List<ClientBlockChange> first,
            @ForAll("changes") List<ClientBlockChange> second,
            @ForAll("changes") List<ClientBlockChange> clients) {
        ClientBlockTable before = ClientBlockTable.EMPTY.with(first).get();
        ClientBlockTable after = before.with(second).get();
        Map<ClientBlock, SiteId> expectedBefore = apply(new HashMap<>(), first);
        Map<ClientBlock, SiteId> expectedAfter = apply(new HashMap<>(expectedBefore), second);
        assertThat(before.size()).isEqualTo(expectedBefore.size());
        assertThat(after.size()).isEqualTo(expectedAfter.size());
        for (ClientBlockChange client : clients) {
            ClientBlock block = client.block();
            assertThat(before.find(block)).isEqualTo(search(expectedBefore, block));
            assertThat(after.find(block)).isEqualTo(search(expectedAfter, block));
        }
    }

    private static Map<ClientBlock, SiteId> apply(
            Map<ClientBlock, SiteId> blocks, List<ClientBlockChange> changes) {
        for (ClientBlockChange change : changes) {
            change.site()
                    .ifPresentOrElse(
                            site -> blocks.put(change.block(), site),
                            () -> blocks.remove(change.block()));
        }
        return blocks;
    }

    private static Optional<SiteId> search(Map<ClientBlock, SiteId> blocks, ClientBlock client) {
        return blocks.entrySet().stream()
                .filter(entry -> entry.getKey().contains(client))
                .max((one, other) -> one.getKey().length() - other.getKey().length())
                .map(Map.Entry::getValue);
    }

    @Example
    void reportsInvalidBlocks() {
        SiteId site = new SiteId("casa-edge");
        List<ClientBlockSpecification> blocks = new ArrayList<>();
        blocks.add(new ClientBlockSpecification("10.0.0.0/8", site));
        blocks.add(new ClientBlockSpecification("10.0.0.0/8", new SiteId("fes-edge")));
        assertThat(ClientBlockTable.of(blocks).getLeft().message()).contains("10.0.0.0/8");
        blocks.set(1, new ClientBlockSpecification("example.org/8", site));
        assertThat(ClientBlockTable.of(blocks).getLeft().message()).contains("example.org/8");
    }
}
