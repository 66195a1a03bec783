package org.streamring.model.declaration;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A client account.
 *
 * @param budget name of the budget that pays
 * @param keySha256 lower-case hexadecimal SHA-256 of the account's key; the key itself is never kept
 * @param services names of the services that the account may call
 * @param priorityClass name of its default priority class
 * @param maxConcurrent most requests in progress on one entry
 * @param requestsPerSecond sustained rate on one entry
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

    /** Fills in the documented defaults for values that were left out. */
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
