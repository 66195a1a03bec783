package org.streamring.standin.model;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.streamring.kernel.admission.FixedWindow;
import org.streamring.kernel.admission.WaitPolicy;

/**
 * A wait policy that can be compared with others.
 *
 * @param name name on the command line
 * @param policyFactory creates the policy of an entry
 */
record WaitPolicyChoice(String name, Supplier<WaitPolicy> policyFactory) {
    /** All wait policies; the first is the one used in production. */
    static final List<WaitPolicyChoice> ALL = List.of(
            new WaitPolicyChoice("fixed", FixedWindow::new),
            new WaitPolicyChoice("refuse", RefuseAtOnce::new),
            new WaitPolicyChoice("forecast", ForecastWait::new));

    static Optional<WaitPolicyChoice> named(String name) {
        return ALL.stream().filter(choice -> choice.name.equals(name)).findFirst();
    }
}
