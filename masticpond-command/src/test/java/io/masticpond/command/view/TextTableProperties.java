package io.masticpond.command.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

class TextTableProperties {

    private static final int COLUMNS = 3;

    @Property(seed = "20261202")
    void linesFitWidthAndContainNoControlCharacters(
            @ForAll @IntRange(min = 40, max = 200) int width,
            @ForAll @Size(max = 10)
                    List<@Size(COLUMNS) List<@StringLength(max = 120) String>> rows) {
        TextTable table =
                new TextTable(
                        Column.textColumn("NAME"),
                        Column.numberColumn("COUNT"),
                        Column.textColumn("DETAIL"));
        for (List<String> row : rows) {
            table.add(row.stream().map(Cell::of).toArray(Cell[]::new));
        }
        List<String> lines = table.lines(width, false);
        assertThat(lines).hasSize(rows.size() + 1);
        for (String line : lines) {
            assertThat(line.length()).isLessThanOrEqualTo(width);
            assertThat(line.chars().noneMatch(Character::isISOControl)).isTrue();
        }
    }

    @Example
    void truncatesOnlyWidestColumn() {
        TextTable table = new TextTable(Column.textColumn("NAME"), Column.textColumn("DETAIL"));
        table.add(Cell.of("perth-a-1"), Cell.of("x".repeat(100)));
        assertThat(table.lines(40, false).get(1)).isEqualTo("perth-a-1  " + "x".repeat(28) + "~");
    }

    @Example
    void replacesControlCharactersInCells() {
        TextTable table = new TextTable(Column.textColumn("NAME"));
        table.add(Cell.of("a\u001b[2Jb\u009bc\u202ed\n"));
        assertThat(table.lines(80, true).get(1)).isEqualTo("a?[2Jb?c?d?");
    }

    @Example
    void amountsAreExact() {
        assertThat(Texts.money(1)).isEqualTo("0.000001");
        assertThat(Texts.money(120_500_000)).isEqualTo("120.50");
        assertThat(Texts.money(0)).isEqualTo("0.00");
        assertThat(Texts.money(Long.MAX_VALUE)).isEqualTo("9223372036854.775807");
    }
}
