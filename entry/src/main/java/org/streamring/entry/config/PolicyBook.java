package org.streamring.entry.config;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.config.ConfigurationHolder.Configuration;
import org.streamring.kernel.policy.BuiltInPolicy;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyCompiler;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.model.declaration.Declarations;
import org.streamring.model.declaration.PolicyDeclaration;

/** Compiled policies of the configuration in force. A policy that did not change is not compiled again. */
public final class PolicyBook {
    private static final Logger LOGGER = LoggerFactory.getLogger(PolicyBook.class);
    private static final CompiledPolicy BUILT_IN = new BuiltInPolicy();

    private final PolicyCompiler compiler;
    private volatile Snapshot snapshot = new Snapshot(Declarations.EMPTY, Map.of());

    /**
     * Declarations with the policies compiled from them, so that a request is decided by one version whole.
     *
     * @param declarations declarations
     * @param policies compiled policies by name
     */
    public record Snapshot(Declarations declarations, Map<String, CompiledPolicy> policies) {
        /** The policy of a name; the built-in one if the name is empty. */
        public CompiledPolicy policy(String name) {
            return policies.getOrDefault(name, BUILT_IN);
        }
    }

    /** Creates an empty book. */
    public PolicyBook(PolicyCompiler compiler) {
        this.compiler = compiler;
    }

    /** What is in force. */
    public Snapshot current() {
        return snapshot;
    }

    /** Compiles what changed. Policies are checked when they are applied, so a failure here keeps the old one. */
    public synchronized void update(Configuration configuration) {
        Snapshot old = snapshot;
        Map<String, CompiledPolicy> compiled = new HashMap<>();
        configuration
                .declarations()
                .policies()
                .forEach((name, policy) -> compiled.put(name, compile(name, policy, old)));
        snapshot = new Snapshot(configuration.declarations(), Map.copyOf(compiled));
    }

    private CompiledPolicy compile(String name, PolicyDeclaration policy, Snapshot old) {
        CompiledPolicy before = old.policies().get(name);
        if (before != null && policy.equals(old.declarations().policies().get(name))) {
            return before;
        }
        try {
            return compiler.compile(name, policy);
        } catch (PolicyException e) {
            LOGGER.error("policy_rejected name={} problem={}", name, e.getMessage());
            return before == null ? BUILT_IN : before;
        }
    }
}
