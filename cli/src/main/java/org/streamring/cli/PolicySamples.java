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
 * Sample requests and candidates for the evaluation of policies.
 *
 * @param requests sample requests
 * @param candidates backend servers that are scored for each admitted request
 */
record PolicySamples(List<Request> requests, List<Candidate> candidates) {

    /** Replaces missing lists by empty ones. */
    PolicySamples(@Nullable List<Request> requests, @Nullable List<Candidate> candidates) {
        this.requests = requests == null ? List.of() : List.copyOf(requests);
        this.candidates = candidates == null ? List.of() : List.copyOf(candidates);
    }

    /**
     * A sample request, with optional expectations on the decision of the policy.
     *
     * @param name name of the sample in the report
     * @param account client account
     * @param service requested service
     * @param promptTokens upper bound on the prompt tokens
     * @param answerTokens maximum number of answer tokens
     * @param notRepeatable whether the request must not run twice
     * @param expectAdmit whether the request should be admitted; empty for no expectation
     * @param expectRank expected rank; empty for no expectation
     * @param expectFirst expected candidate with the lowest score; empty for no expectation
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

        /** Replaces missing texts by empty ones. */
        Request {
            name = Optional.ofNullable(name).orElse("");
            account = Optional.ofNullable(account).orElse("");
            service = Optional.ofNullable(service).orElse("");
        }
    }

    /**
     * A sample backend server.
     *
     * @param name name of the backend server
     * @param failureDomain failure domain of the backend server
     * @param sameDomain whether the entry is in the same failure domain
     * @param load attempts in progress or queued, divided by the capacity
     */
    record Candidate(String name, String failureDomain, boolean sameDomain, double load) {
        /** Replaces missing texts by empty ones. */
        Candidate {
            name = Optional.ofNullable(name).orElse("");
            failureDomain = Optional.ofNullable(failureDomain).orElse("");
        }
    }

    /**
     * Reads samples and checks that their accounts and services are declared.
     *
     * @throws SettingsException if the file cannot be read or a sample is invalid
     */
    static PolicySamples read(Path file, Declarations declarations) throws SettingsException {
        List<String> errors = new ArrayList<>();
        PolicySamples samples = TomlFileReader.read(file, PolicySamples.class, errors);
        if (samples.requests().isEmpty()) {
            errors.add("requests: at least one sample request must be given");
        }
        for (int i = 0; i < samples.requests().size(); i++) {
            check("requests[" + i + "]", samples.requests().get(i), declarations, errors);
        }
        if (!errors.isEmpty()) {
            throw new SettingsException(file.toString(), errors);
        }
        return samples;
    }

    private static void check(String key, Request request, Declarations declarations, List<String> errors) {
        if (!declarations.accounts().containsKey(request.account())) {
            errors.add("%s.account = \"%s\": allowed is one of %s"
                    .formatted(key, request.account(), declarations.accounts().keySet()));
        }
        if (!declarations.services().containsKey(request.service())) {
            errors.add("%s.service = \"%s\": allowed is one of %s"
                    .formatted(key, request.service(), declarations.services().keySet()));
        }
        if (request.promptTokens() < 0 || request.answerTokens() < 0) {
            errors.add(key + ".prompt_tokens/answer_tokens: allowed is 0 or more");
        }
    }
}
