package org.streamring.policy.cel;

/** Names of the variables that a policy expression may use. */
final class Variables {
    static final String ACCOUNT = "account";
    static final String SERVICE = "service";
    static final String PRIORITY_CLASS = "priority_class";
    static final String RANK = "rank";
    static final String PROMPT_TOKENS = "prompt_tokens";
    static final String ANSWER_TOKENS = "answer_tokens";
    static final String BUDGET = "budget";
    static final String REPEATABLE = "repeatable";
    static final String CANDIDATE = "candidate";
    static final String FAILURE_DOMAIN = "failure_domain";
    static final String SAME_DOMAIN = "same_domain";
    static final String LOAD = "load";

    private Variables() {}
}
