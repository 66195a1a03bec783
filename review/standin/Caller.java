package standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection. */
public final class Caller implements AutoCloseable {
    public final Socket socket;
    public final InputStream in;
    public final OutputStream out;

    public Caller(Entry entry) throws IOException {
        socket = new Socket(entry.ip, entry.front);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 4_096);
        out = socket.getOutputStream();
    }

    /** Returns a head; further headers end with CR LF each. */
    public static byte[] head(String method, String path, String id, long deadlineMillis, String more, int length) {
        String text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nAuthorization: Bearer key-hotel\r\n" + more
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a request and returns its whole answer; throws if the connection ends without one. */
    public Http call(byte[] head, byte[] body) throws IOException {
        out.write(head);
        out.write(body);
        out.flush();
        Http answer = Http.readHead(in);
        if (answer == null) {
            throw new IOException("closed without an answer");
        }
        answer.readBody(in);
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
