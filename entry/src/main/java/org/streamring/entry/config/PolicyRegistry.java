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

/**
 * Registry of the compiled policies of the configuration in force. A policy that did not change is not compiled again.
 */
public final class PolicyRegistry {
    private static final Logger LOGGER = LoggerFactory.getLogger(PolicyRegistry.class);
    private static final CompiledPolicy BUILT_IN = new BuiltInPolicy();

    private final PolicyCompiler compiler;
    private volatile Snapshot snapshot = new Snapshot(Declarations.EMPTY, Map.of());

    /**
     * Declarations with the policies compiled from them, so that each request is decided by a single version.
     *
     * @param declarations declarations
     * @param policies compiled policies by name
     */
    public record Snapshot(Declarations declarations, Map<String, CompiledPolicy> policies) {
        /** Returns the policy with a name; the built-in policy if there is none, as for the empty name. */
        public CompiledPolicy policy(String name) {
            return policies.getOrDefault(name, BUILT_IN);
        }
    }

    /** Creates an empty registry. */
    public PolicyRegistry(PolicyCompiler compiler) {
        this.compiler = compiler;
    }

    /** Returns the declarations and policies in force. */
    public Snapshot current() {
        return snapshot;
    }

    /**
     * Compiles the policies that changed. Policies are checked when a configuration is applied; if one fails to compile
     * here nevertheless, its old version is kept, or the built-in policy is used if there is none.
     */
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
        CompiledPolicy oldPolicy = old.policies().get(name);
        if (oldPolicy != null && policy.equals(old.declarations().policies().get(name))) {
            return oldPolicy;
        }
        try {
            return compiler.compile(name, policy);
        } catch (PolicyException e) {
            LOGGER.error("policy_rejected name={} problem={}", name, e.getMessage());
            return oldPolicy == null ? BUILT_IN : oldPolicy;
        }
    }
}
