package org.streamring.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.streamring.model.declaration.Declarations;
import org.streamring.net.settings.SettingsException;
import org.streamring.net.settings.TomlFileReader;

/**
 * Sample requests and candidates that policies are tried on.
 *
 * @param requests sample requests
 * @param candidates backend servers that each admitted request is scored on
 */
record PolicySamples(List<Request> requests, List<Candidate> candidates) {

    /** Fills in empty lists for what was left out. */
    PolicySamples(@Nullable List<Request> requests, @Nullable List<Candidate> candidates) {
        this.requests = requests == null ? List.of() : List.copyOf(requests);
        this.candidates = candidates == null ? List.of() : List.copyOf(candidates);
    }

    /**
     * A sample request, and what is expected of the policy, where the operator has said so.
     *
     * @param name what the request stands for
     * @param account client account
     * @param service service asked
     * @param promptTokens bound on the prompt tokens
     * @param answerTokens limit of the answer
     * @param notRepeatable whether a second run would do harm
     * @param expectAdmit whether it should be admitted; empty for no expectation
     * @param expectRank its rank; empty for no expectation
     * @param expectFirst the candidate with the lowest score; empty for no expectation
     */
    record Request(
            String name,
            String account,
            String service,
            long promptTokens,
            long answerTokens,
            boolean notRepeatable,
            Optional<Boolean> expectAdmit,
            Optional<Integer> expectRank,
            Optional<String> expectFirst) {

        /** Fills in empty texts for what was left out. */
        Request {
            name = Optional.ofNullable(name).orElse("");
            account = Optional.ofNullable(account).orElse("");
            service = Optional.ofNullable(service).orElse("");
        }
    }

    /**
     * A sample candidate.
     *
     * @param name backend server
     * @param failureDomain its failure domain
     * @param sameDomain whether that is the entry's own
     * @param load attempts in progress or queued, over capacity
     */
    record Candidate(String name, String failureDomain, boolean sameDomain, double load) {
        /** Fills in empty texts for what was left out. */
        Candidate {
            name = Optional.ofNullable(name).orElse("");
            failureDomain = Optional.ofNullable(failureDomain).orElse("");
        }
    }

    /** Reads samples and checks that the accounts and services they name are declared. */
    static PolicySamples read(Path file, Declarations declarations) throws SettingsException {
        List<String> mistakes = new ArrayList<>();
        PolicySamples samples = TomlFileReader.read(file, PolicySamples.class, mistakes);
        if (samples.requests().isEmpty()) {
            mistakes.add("requests: at least one sample request must be given");
        }
        for (int i = 0; i < samples.requests().size(); i++) {
            check("requests[" + i + "]", samples.requests().get(i), declarations, mistakes);
        }
        if (!mistakes.isEmpty()) {
            throw new SettingsException(file.toString(), mistakes);
        }
        return samples;
    }

    private static void check(String key, Request request, Declarations declarations, List<String> mistakes) {
        if (!declarations.accounts().containsKey(request.account())) {
            mistakes.add("%s.account = \"%s\": allowed is one of %s"
                    .formatted(key, request.account(), declarations.accounts().keySet()));
        }
        if (!declarations.services().containsKey(request.service())) {
            mistakes.add("%s.service = \"%s\": allowed is one of %s"
                    .formatted(key, request.service(), declarations.services().keySet()));
        }
        if (request.promptTokens() < 0 || request.answerTokens() < 0) {
            mistakes.add(key + ".prompt_tokens/answer_tokens: allowed is 0 or more");
        }
    }
}
