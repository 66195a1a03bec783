package org.streamring.kernel.policy;

/** The policy of services that name none: admits all, ranks by class, and prefers the least loaded. */
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
