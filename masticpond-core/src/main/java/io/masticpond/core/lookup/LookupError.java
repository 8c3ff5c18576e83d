package io.masticpond.core.lookup;

import io.masticpond.core.configuration.ClientBlock;

/**
 * Error in a client's address or in a table of client blocks.
 *
 * @since 0.1
 */
public sealed interface LookupError {

    /**
     * Returns a message for display.
     *
     * @return one or two sentences
     */
    String message();

    /**
     * Text that is not a valid block.
     *
     * @param text the text, which is shortened
     * @param reason the reason in one sentence
     */
    record InvalidBlock(String text, String reason) implements LookupError {

        private static final int MAXIMUM_TEXT_LENGTH = 49;

        /** Truncates the text to 49 characters. */
        public InvalidBlock {
            text = text == null ? "" : text;
            if (text.length() > MAXIMUM_TEXT_LENGTH) {
                text = text.substring(0, MAXIMUM_TEXT_LENGTH) + "...";
            }
        }

        @Override
        public String message() {
            return "The client block '" + text + "' cannot be read. " + reason;
        }
    }

    /**
     * Block that is configured twice.
     *
     * @param block the block
     */
    record DuplicateBlock(ClientBlock block) implements LookupError {
        @Override
        public String message() {
            return "A client block must be stated once, but " + block + " came again.";
        }
    }

    /**
     * Number of sites that exceeds the maximum of a table.
     *
     * @param sites the number of sites
     */
    record TooManySites(int sites) implements LookupError {
        @Override
        public String message() {
            return "Client blocks may point to at most "
                    + ClientBlockTable.MAXIMUM_SITES
                    + " sites, but there are "
                    + sites
                    + ".";
        }
    }
}
