package io.masticpond.core.operation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class OperationKeyProperties {

    private final OperationFixture mHome = new OperationFixture();

    @Example
    void issuedKeyCanBeParsedFromItsText() {
        OperationKey key = mHome.mIssuer.issue();
        assertThat(OperationKey.parse(key.toString())).isEqualTo(Optional.of(key));
        assertThat(mHome.mIssuer.hasIssued(key)).isTrue();
    }

    @Property(seed = "20261202")
    void anyTextIsParsedOrRefused(@ForAll String text) {
        OperationKey.parse(text)
                .ifPresent(key -> assertThat(mHome.mIssuer.hasIssued(key)).isFalse());
    }

    @Property(seed = "20261202")
    void changeOfOneCharacterIsDetected(
            @ForAll @IntRange(max = 199) int position, @ForAll char character) {
        String text = mHome.mIssuer.issue().toString();
        int at = position % text.length();
        String changed = text.substring(0, at) + character + text.substring(at + 1);
        if (changed.equals(text)) {
            return;
        }
        OperationKey.parse(changed)
                .filter(key -> key.toString().equals(changed))
                .ifPresent(key -> assertThat(mHome.mIssuer.hasIssued(key)).isFalse());
    }
}
