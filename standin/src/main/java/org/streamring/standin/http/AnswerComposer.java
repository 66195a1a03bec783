package org.streamring.standin.http;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * Writes answers in the many ways that HTTP allows: headers in any order, names in any case, folded lines, interim
 * heads, chunks of any size with extensions and trailers. All choices follow from the random numbers.
 */
public final class AnswerComposer {
    private static final String LINE_END = "\r\n";
    private static final List<String> REASONS = List.of("OK", "X", "Some Reason", "See: below", "");
    private static final List<String> SEPARATORS = List.of(": ", ":", ":  ", ":\t");
    private static final List<String> INTERIM_HEADS =
            List.of("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    private static final List<String> EXTENSIONS = List.of("", "", ";a=b", ";quoted=\"x y\"");
    private static final List<String> FURTHER_HEADERS = List.of(
            "Date: Thu, 01 Jan 1970 00:00:00 GMT",
            "Via: 1.1 box",
            "Server: stand-in/1.1 500",
            "X-Empty:",
            "X-Folded: one\r\n two\r\n\tthree",
            "X-Long: " + "0123456789".repeat(5));

    private static final int MAX_CHUNK = 24;

    private final String idHeader;
    private final String signatureHeader;
    private final Random random;

    /**
     * Creates a composer.
     *
     * @param idHeader name of the header that carries the identifier of the request
     * @param signatureHeader name of the header that carries the signature
     */
    public AnswerComposer(String idHeader, String signatureHeader, Random random) {
        this.idHeader = idHeader;
        this.signatureHeader = signatureHeader;
        this.random = random;
    }

    /** Writes an answer with any framing. */
    public WholeAnswer compose(AnswerContent content) {
        return compose(content, any(List.of(AnswerFraming.values())));
    }

    /** Writes an answer with this framing. */
    public WholeAnswer compose(AnswerContent content, AnswerFraming framing) {
        String interim = random.nextInt(6) == 0 ? any(INTERIM_HEADS) : "";
        String head = head(content, framing);
        int bodyStart = interim.length() + head.length();
        if (framing != AnswerFraming.CHUNKS) {
            String text = interim + head + content.body();
            return new WholeAnswer(content, framing, text, interim.length(), bodyStart, text.length());
        }
        String chunks = chunks(content.body());
        String text = interim + head + chunks + emptyChunk();
        return new WholeAnswer(content, framing, text, interim.length(), bodyStart, bodyStart + chunks.length());
    }

    private String head(AnswerContent content, AnswerFraming framing) {
        List<String> headers = new ArrayList<>();
        content.id().ifPresent(id -> headers.add(header(idHeader, id)));
        headers.add(header(signatureHeader, content.signature()));
        headers.add(header("Content-Type", content.events() ? "text/event-stream" : "text/plain"));
        if (framing == AnswerFraming.LENGTH) {
            headers.add(header("Content-Length", String.valueOf(content.body().length())));
        } else if (framing == AnswerFraming.CHUNKS) {
            headers.add(header("Transfer-Encoding", "chunked"));
        }
        FURTHER_HEADERS.stream().filter(each -> random.nextInt(4) == 0).forEach(headers::add);
        Collections.shuffle(headers, random);
        return "HTTP/1.1 " + content.status() + " " + any(REASONS) + LINE_END + String.join(LINE_END, headers)
                + LINE_END + LINE_END;
    }

    private String header(String name, String value) {
        String written =
                switch (random.nextInt(4)) {
                    case 0 -> name.toLowerCase(Locale.ROOT);
                    case 1 -> name.toUpperCase(Locale.ROOT);
                    default -> name;
                };
        return written + any(SEPARATORS) + value;
    }

    private String chunks(String body) {
        StringBuilder chunks = new StringBuilder();
        int start = 0;
        while (start < body.length()) {
            int end = Math.min(body.length(), start + 1 + random.nextInt(MAX_CHUNK));
            chunks.append(chunk(body.substring(start, end)));
            start = end;
        }
        return chunks.toString();
    }

    private String chunk(String data) {
        String size = Integer.toHexString(data.length());
        String written = random.nextBoolean() ? size : "00" + size.toUpperCase(Locale.ROOT);
        return written + any(EXTENSIONS) + LINE_END + data + LINE_END;
    }

    private String emptyChunk() {
        String trailers = random.nextInt(3) == 0 ? "X-Trailer: at the end" + LINE_END : "";
        return "0" + any(EXTENSIONS) + LINE_END + trailers + LINE_END;
    }

    private <T> T any(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }
}
