package org.streamring.kernel.policy;

import java.util.ServiceLoader;
import org.streamring.model.declaration.PolicyDeclaration;

/** Compiles policies; implementations register themselves with {@link ServiceLoader}. */
public interface PolicyCompiler {
    /**
     * Compiles and checks a policy.
     *
     * @param name its name, for messages
     */
    CompiledPolicy compile(String name, PolicyDeclaration policy) throws PolicyException;

    /** Finds the registered compiler. */
    static PolicyCompiler load() {
        return ServiceLoader.load(PolicyCompiler.class)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no policy compiler is registered"));
    }
}
