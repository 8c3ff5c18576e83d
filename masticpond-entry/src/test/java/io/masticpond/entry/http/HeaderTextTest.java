package io.masticpond.entry.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class HeaderTextTest {

    /** Guards against a name whose receiver reads another one. */
    @Property(seed = "63")
    void aNameThatCanBeCarriedIsReadAgainFromItsBytes(@ForAll String name) {
        if (HeaderText.canCarry(name)) {
            byte[] bytes = HeaderText.encode(name).getBytes(StandardCharsets.ISO_8859_1);
            assertThat(new String(bytes, StandardCharsets.UTF_8)).isEqualTo(name);
        }
    }

    /** Guards against a name that ends its header or adds another one. */
    @Example
    void controlCharactersCannotBeCarried() {
        for (String name : new String[] {"", "a\nb", "a\rb", "a\tb", "a\u007f", " a", "a "}) {
            assertThat(HeaderText.canCarry(name)).as(name).isFalse();
        }
        assertThat(HeaderText.canCarry("a b/c\"d")).isTrue();
    }
}
