package org.streamring.net.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Finds the head of a second answer to a request in the body of the first. If an answer breaks off in its body and its
 * server answers once more on the connection, the decoder reads the second answer as the rest of the body.
 *
 * <p>A body may mention a status line. One that is followed by header lines, of which one carries the identifier of the
 * request or a signature, is the beginning of an answer. Each byte is examined once. Confined to one thread.
 */
public final class SecondAnswerCheck {
    private static final int MAX_HEAD_BYTES = 65_536;
    /** Bytes of a header line beside the name and the identifier, such as white space. */
    private static final int OTHER_LINE_BYTES = 256;

    private final String idHeader;
    private final String id;
    private final String signatureHeader;
    private final int maxLineBytes;
    private final StatusLineMatcher statusLine = new StatusLineMatcher();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(0);
    private boolean inHead;
    private boolean inStatusLine;
    private int headBytes;
    private boolean found;

    /**
     * Creates the check of one body.
     *
     * @param idHeader name of the header that carries the identifier
     * @param id identifier of the request
     * @param signatureHeader name of the header that carries the signature of an answer
     */
    public SecondAnswerCheck(String idHeader, String id, String signatureHeader) {
        this.idHeader = idHeader;
        this.id = id;
        this.signatureHeader = signatureHeader;
        this.maxLineBytes = idHeader.length() + id.length() + signatureHeader.length() + OTHER_LINE_BYTES;
    }

    /** Adds the next part of the body; returns whether the body contains the head of a second answer. */
    public boolean add(byte[] part) {
        for (byte next : part) {
            if (inHead || statusLine.hasBegun() || next == StatusLineMatcher.FIRST) {
                examine(next, true);
            }
        }
        return found;
    }

    /**
     * Returns whether a head that begins in the body and goes on in the bytes behind it is that of a second answer. A
     * head that begins behind the body does not count.
     */
    public boolean goesOnIn(byte[] behind) {
        for (byte next : behind) {
            if (!inHead && !statusLine.hasBegun()) {
                return found;
            }
            examine(next, false);
        }
        return found;
    }

    private void examine(byte next, boolean mayBegin) {
        if (statusLine.matchedBy(next, mayBegin)) {
            inHead = true;
            inStatusLine = true;
            headBytes = 0;
            line.reset();
        }
        if (inHead) {
            readHead(next);
        }
    }

    private void readHead(byte next) {
        headBytes++;
        if (headBytes > MAX_HEAD_BYTES) {
            inHead = false;
        } else if (next == '\n') {
            endLine();
        } else if (line.size() < maxLineBytes) {
            line.write(next);
        }
    }

    private void endLine() {
        if (inStatusLine) {
            inStatusLine = false;
        } else {
            readHeader(line.toString(StandardCharsets.ISO_8859_1));
        }
        line.reset();
    }

    private void readHeader(String text) {
        int colon = text.indexOf(':');
        found |= colon > 0
                && isOfAnswer(
                        text.substring(0, colon).trim(),
                        text.substring(colon + 1).trim());
        inHead = colon > 0 || isFolded(text);
    }

    private boolean isOfAnswer(String name, String value) {
        return name.equalsIgnoreCase(signatureHeader) || (name.equalsIgnoreCase(idHeader) && value.equals(id));
    }

    private static boolean isFolded(String text) {
        return text.startsWith(" ") || text.startsWith("\t");
    }
}
