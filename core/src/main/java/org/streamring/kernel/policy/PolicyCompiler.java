package org.streamring.kernel.policy;

import java.util.ServiceLoader;
import org.streamring.model.declaration.PolicyDeclaration;

/** Compiles policies. Implementations are found with {@link ServiceLoader}. */
public interface PolicyCompiler {
    /**
     * Compiles and validates a policy.
     *
     * @param name name of the policy, used in error messages
     * @throws PolicyException if an expression of the policy is invalid
     */
    CompiledPolicy compile(String name, PolicyDeclaration policy) throws PolicyException;

    /**
     * Returns the registered compiler.
     *
     * @throws IllegalStateException if none is registered
     */
    static PolicyCompiler load() {
        return ServiceLoader.load(PolicyCompiler.class)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no policy compiler is registered"));
    }
}
