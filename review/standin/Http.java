package standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A message in HTTP/1.1 as read from a socket. */
public final class Http {
    public final String line;
    public final Map<String, String> headers = new TreeMap<>();
    public byte[] body = new byte[0];

    private Http(String line) {
        this.line = line;
    }

    public String header(String name) {
        return headers.getOrDefault(name.toLowerCase(), "");
    }

    public int status() {
        return Integer.parseInt(line.split(" ")[1]);
    }

    /** Reads a head; returns null if the peer closed before its first byte. */
    public static Http readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new IOException("closed within a head");
            }
            bytes.write(next);
            matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Http message = new Http(lines[0]);
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            message.headers.put(lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a body that has a length or comes in chunks; throws if it ends early. */
    public void readBody(InputStream in) throws IOException {
        if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int size;
            do {
                size = Integer.parseInt(readLine(in), 16);
                all.writeBytes(exactly(in, size));
                readLine(in);
            } while (size > 0);
            body = all.toByteArray();
        } else if (!header("content-length").isEmpty()) {
            body = exactly(in, Integer.parseInt(header("content-length")));
        }
    }

    public static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed within an answer");
            }
            if (next == '\n') {
                return text.toString().trim();
            }
            text.append((char) next);
        }
    }

    public static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new IOException("closed within a body");
        }
        return bytes;
    }
}
