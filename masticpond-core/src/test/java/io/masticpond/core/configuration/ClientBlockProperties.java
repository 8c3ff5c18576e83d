package io.masticpond.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Tests of parsing the addresses and blocks of callers and operators. */
final class ClientBlockProperties {

    @Provide
    static Arbitrary<ClientBlock> blocks() {
        Arbitrary<ClientBlock> ipv4 =
                Combinators.combine(bytes(4), Arbitraries.integers().between(0, 32))
                        .as(ClientBlock::of);
        Arbitrary<ClientBlock> ipv6 =
                Combinators.combine(bytes(16), Arbitraries.integers().between(0, 128))
                        .as(ClientBlock::of);
        return Arbitraries.oneOf(ipv4, ipv6);
    }

    private static Arbitrary<byte[]> bytes(int size) {
        return Arbitraries.bytes().array(byte[].class).ofSize(size);
    }

    @Property(seed = "411")
    void parsesFormattedBlock(@ForAll("blocks") ClientBlock block) {
        boolean mapped = block.toString().startsWith("0:0:0:0:0:ffff:");
        if (!mapped) {
            assertThat(ClientBlock.parse(block.toString()).get()).isEqualTo(block);
        }
    }

    @Property(seed = "412")
    void neverThrowsOnAnyText(@ForAll String text) {
        ClientBlock.parse(text);
    }

    @Example
    void rejectsNonNumericTextWithoutQueryingNameServer() {
        for (String text :
                new String[] {
                    "",
                    " ",
                    "localhost",
                    "example.org",
                    "example.org/8",
                    "1.2.3",
                    "1",
                    "01.2.3.4",
                    "256.1.1.1",
                    "1.2.3.4/33",
                    "1.2.3.4/-1",
                    "1.2.3.4/08",
                    "1.2.3.4/",
                    "/8",
                    "fe80::1%eth0",
                    "[::1]",
                    ":",
                    ":::",
                    "1::2::3",
                    "beef",
                    "::1/129",
                    "::ffff:1.2.3.4/95",
                    "2001:db8::1/32",
                    "10.0.0.1/8",
                    "10.0.0.0/8/8",
                    "1".repeat(1000)
                }) {
            assertThat(ClientBlock.parse(text).isLeft()).as(text).isTrue();
        }
        assertThat(ClientBlock.parse(null).isLeft()).isTrue();
    }

    @Example
    void parsesIpv4MappedIpv6AddressAsIpv4Address() {
        assertThat(ClientBlock.parse("::ffff:10.1.2.3")).isEqualTo(ClientBlock.parse("10.1.2.3"));
        assertThat(ClientBlock.parse("::ffff:10.1.0.0/112"))
                .isEqualTo(ClientBlock.parse("10.1.0.0/16"));
    }
}
