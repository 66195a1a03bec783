package org.streamring.standin.model;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.streamring.kernel.admission.FixedWindow;
import org.streamring.kernel.admission.WaitPolicy;

/**
 * A way of deciding that can be compared with others.
 *
 * @param name on the command line
 * @param waiting makes the policy of one entry
 */
record Way(String name, Supplier<WaitPolicy> waiting) {
    /** All ways that are known, today's first. */
    static final List<Way> ALL = List.of(
            new Way("fixed", FixedWindow::new),
            new Way("refuse", RefuseAtOnce::new),
            new Way("forecast", ForecastWait::new));

    static Optional<Way> named(String name) {
        return ALL.stream().filter(way -> way.name.equals(name)).findFirst();
    }
}
