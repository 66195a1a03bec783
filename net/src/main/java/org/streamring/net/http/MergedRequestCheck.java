package org.streamring.net.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds heads that were read from two requests. If the head of a request breaks off inside a header value, the decoder
 * reads the head of the next request on the connection as its continuation: method and target are those of the first
 * request, the other headers and the body are those of the second.
 */
public final class MergedRequestCheck {
    private static final String PROTOCOL = "HTTP/";
    /**
     * The request line of RFC 9112, section 3. The look-behind lets a run of letters be tried once only, so that long
     * values take no longer than their length.
     */
    private static final Pattern REQUEST_LINE = Pattern.compile("(?<![A-Z])[A-Z]++ ++\\S++ ++HTTP/\\d");

    private final List<CharSequence> single = new ArrayList<>(
            List.of(HttpHeaderNames.HOST, HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.AUTHORIZATION));

    /**
     * Creates a check.
     *
     * @param singleHeaders names of headers that a request has at most once, beside those of HTTP
     */
    public MergedRequestCheck(List<String> singleHeaders) {
        single.addAll(singleHeaders);
    }

    /** Returns what shows that a head was read from two requests; empty if it is the head of one. */
    public Optional<String> defectOf(HttpRequest request) {
        return requestLineInHeader(request.headers()).or(() -> repeatedHeader(request.headers()));
    }

    private static Optional<String> requestLineInHeader(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (containsRequestLine(header.getValue())) {
                return Optional.of("the header " + header.getKey() + " contains a request line");
            }
        }
        return Optional.empty();
    }

    private static boolean containsRequestLine(String value) {
        if (!value.contains(PROTOCOL)) {
            return false;
        }
        Matcher line = REQUEST_LINE.matcher(value);
        return line.find();
    }

    private Optional<String> repeatedHeader(HttpHeaders headers) {
        return single.stream()
                .filter(name -> headers.getAll(name).size() > 1)
                .findFirst()
                .map(name -> "the header " + name + " is repeated");
    }
}
