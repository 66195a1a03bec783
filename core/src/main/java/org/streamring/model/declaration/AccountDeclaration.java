package org.streamring.model.declaration;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Declaration of a client account.
 *
 * @param budget name of the budget that tokens are charged to
 * @param keySha256 lower-case hexadecimal SHA-256 of the account's key; the key itself is never stored
 * @param services names of the services that the account may call
 * @param priorityClass name of its default priority class
 * @param maxConcurrent maximum number of concurrent requests on one entry
 * @param requestsPerSecond maximum sustained request rate on one entry
 */
public record AccountDeclaration(
        String budget,
        String keySha256,
        List<String> services,
        String priorityClass,
        int maxConcurrent,
        int requestsPerSecond) {

    private static final int DEFAULT_MAX_CONCURRENT = 256;
    private static final int DEFAULT_REQUESTS_PER_SECOND = 200;

    /** Creates a declaration, with the documented defaults for missing values. */
    public AccountDeclaration(
            @Nullable String budget,
            @Nullable String keySha256,
            @Nullable List<String> services,
            @Nullable String priorityClass,
            int maxConcurrent,
            int requestsPerSecond) {
        this.budget = Defaults.text(budget, "");
        this.keySha256 = Defaults.text(keySha256, "");
        this.services = Defaults.list(services);
        this.priorityClass = Defaults.text(priorityClass, PriorityClass.DEFAULT_NAME);
        this.maxConcurrent = Defaults.positive(maxConcurrent, DEFAULT_MAX_CONCURRENT);
        this.requestsPerSecond = Defaults.positive(requestsPerSecond, DEFAULT_REQUESTS_PER_SECOND);
    }
}
