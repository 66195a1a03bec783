package reviewtwo;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names of the platform's protocol, read from a resource file. */
final class Names {
    private static final Properties NAMES = load();

    private Names() {}

    private static Properties load() {
        Properties read = new Properties();
        try (InputStream in = Names.class.getResourceAsStream("/names.properties")) {
            read.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return read;
    }

    static String of(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException(key);
        }
        return name;
    }
}
