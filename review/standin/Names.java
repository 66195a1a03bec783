package standin;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** Names of the published protocol, from names.properties. */
public final class Names {
    private static final Properties ALL = new Properties();

    static {
        try (InputStream in = Names.class.getResourceAsStream("names.properties")) {
            ALL.load(in);
        } catch (IOException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    private Names() {}

    public static String of(String key) {
        String name = ALL.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException(key);
        }
        return name;
    }

    /** Returns a header's line, with CR LF. */
    public static String header(String key, String value) {
        return of(key) + ": " + value + "\r\n";
    }

    /** The headers of a request to a model. */
    public static String model(String tokens, String prompt) {
        return "X-Model: m\r\n" + header("tokens", tokens) + header("prompt", prompt);
    }
}
