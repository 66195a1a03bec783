package org.streamring.model.declaration;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Default values for fields that are missing in a declaration. */
final class Defaults {
    private Defaults() {}

    static String text(@Nullable String value, String whenAbsent) {
        return value == null ? whenAbsent : value;
    }

    static List<String> list(@Nullable List<String> value) {
        return value == null ? List.of() : List.copyOf(value);
    }

    static int positive(int value, int whenAbsent) {
        return value == 0 ? whenAbsent : value;
    }
}
