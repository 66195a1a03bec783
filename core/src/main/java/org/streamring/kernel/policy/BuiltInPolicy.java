package org.streamring.kernel.policy;

/**
 * Default policy for services without a declared policy: admits all requests, uses the rank of the priority class, and
 * prefers the least loaded candidate.
 */
public final class BuiltInPolicy implements CompiledPolicy {
    @Override
    public boolean admits(PolicyInput input) {
        return true;
    }

    @Override
    public int rank(PolicyInput input) {
        return input.rank();
    }

    @Override
    public double score(PolicyInput input, CandidateInput candidate) {
        return candidate.load();
    }
}
