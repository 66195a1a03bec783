package org.streamring.net.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds heads that were read from two answers. If the head of an answer breaks off inside its reason phrase or a header
 * value, the decoder reads the head of the next answer on the connection as its continuation: the status is that of the
 * first answer, the other headers and the body are those of the second.
 */
public final class MergedHeadCheck {
    private static final String PROTOCOL = "HTTP/";
    /** The status line of RFC 9112, section 4. Neither a reason phrase nor a header value contains one. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d+\\.\\d+ +\\d{3}(?= |$)");

    private final List<CharSequence> single = new ArrayList<>(
            List.of(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.CONTENT_TYPE, HttpHeaderNames.RETRY_AFTER));

    /**
     * Creates a check.
     *
     * @param singleHeaders names of headers that an answer has at most once, beside those of HTTP
     */
    public MergedHeadCheck(List<String> singleHeaders) {
        single.addAll(singleHeaders);
    }

    /** Returns what shows that a head was read from two answers; empty if it is the head of one. */
    public Optional<String> defectOf(HttpResponse response) {
        return statusLineIn(response.status().reasonPhrase())
                .map(line -> "the reason phrase contains the status line " + line)
                .or(() -> statusLineInHeader(response.headers()))
                .or(() -> repeatedHeader(response.headers()));
    }

    /** Returns what shows that the trailers of an answer go on in the head of another one; empty if nothing does. */
    public Optional<String> defectOf(HttpHeaders trailers) {
        return statusLineInHeader(trailers).or(() -> single.stream()
                .filter(trailers::contains)
                .findFirst()
                .map(name -> "the header " + name + " stands in the trailers"));
    }

    private static Optional<String> statusLineInHeader(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            Optional<String> inValue = statusLineIn(header.getValue());
            if (inValue.isPresent()) {
                return inValue.map(line -> "the header " + header.getKey() + " contains the status line " + line);
            }
        }
        return Optional.empty();
    }

    private static Optional<String> statusLineIn(String text) {
        if (!text.contains(PROTOCOL)) {
            return Optional.empty();
        }
        Matcher found = STATUS_LINE.matcher(text);
        return found.find() ? Optional.of(found.group()) : Optional.empty();
    }

    private Optional<String> repeatedHeader(HttpHeaders headers) {
        return single.stream()
                .filter(name -> headers.getAll(name).size() > 1)
                .findFirst()
                .map(name -> "the header " + name + " is repeated");
    }
}
