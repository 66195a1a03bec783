package org.streamring.model.declaration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Validates a set of declarations and collects all errors, so that an operator sees them at once. */
public final class DeclarationChecker {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final int CALL_PATTERN_PARTS = 2;

    private final Declarations declarations;
    private final List<String> errors = new ArrayList<>();

    private DeclarationChecker(Declarations declarations) {
        this.declarations = declarations;
    }

    /** Returns one line per error with the key, the value and the allowed values. */
    public static List<String> check(Declarations declarations) {
        DeclarationChecker checker = new DeclarationChecker(declarations);
        checker.checkNames();
        declarations.budgets().forEach(checker::checkBudget);
        declarations.accounts().forEach(checker::checkAccount);
        declarations.classes().forEach(checker::checkClass);
        declarations.services().forEach(checker::checkService);
        return List.copyOf(checker.errors);
    }

    private void checkNames() {
        checkNames("budgets", declarations.budgets());
        checkNames("accounts", declarations.accounts());
        checkNames("classes", declarations.classes());
        checkNames("services", declarations.services());
        checkNames("policies", declarations.policies());
    }

    private void checkNames(String section, Map<String, ?> named) {
        named.keySet().stream()
                .filter(name -> !NAME.matcher(name).matches())
                .forEach(name -> addError(
                        section + "." + name, name, "a name of a-z, 0-9, '.', '_' and '-', at most 63 characters"));
    }

    private void checkBudget(String name, BudgetDeclaration budget) {
        if (budget.tokens() < 0) {
            addError("budgets." + name + ".tokens", budget.tokens(), "0 or more");
        }
    }

    private void checkAccount(String name, AccountDeclaration account) {
        String key = "accounts." + name;
        if (!declarations.budgets().containsKey(account.budget())) {
            addError(
                    key + ".budget",
                    account.budget(),
                    "one of " + declarations.budgets().keySet());
        }
        if (!SHA256.matcher(account.keySha256()).matches()) {
            addError(key + ".key_sha256", account.keySha256(), "64 lower-case hexadecimal digits");
        }
        for (String service : account.services()) {
            if (!declarations.services().containsKey(service)) {
                addError(
                        key + ".services",
                        service,
                        "one of " + declarations.services().keySet());
            }
        }
        boolean classExists = declarations.classes().containsKey(account.priorityClass())
                || account.priorityClass().equals(PriorityClass.DEFAULT_NAME);
        if (!classExists) {
            addError(
                    key + ".priority_class",
                    account.priorityClass(),
                    "one of " + declarations.classes().keySet());
        }
        if (account.maxConcurrent() < 0 || account.requestsPerSecond() < 0) {
            addError(key + ".max_concurrent/requests_per_second", "negative", "0 (default) or more");
        }
    }

    private void checkClass(String name, PriorityClass priorityClass) {
        if (priorityClass.rank() < 0 || priorityClass.rank() > PriorityClass.LOWEST_RANK) {
            addError("classes." + name + ".rank", priorityClass.rank(), "0 to " + PriorityClass.LOWEST_RANK);
        }
    }

    private void checkService(String name, ServiceDeclaration service) {
        String key = "services." + name;
        if (!service.policy().isEmpty() && !declarations.policies().containsKey(service.policy())) {
            addError(
                    key + ".policy",
                    service.policy(),
                    "one of " + declarations.policies().keySet());
        }
        if (service.kind() == ServiceKind.MODEL && service.models().isEmpty()) {
            addError(key + ".models", "[]", "at least one model name");
        }
        if (service.contextTokens() < 1 || service.answerTokens() < 1 || service.callTokens() < 0) {
            addError(
                    key + ".context_tokens/answer_tokens/call_tokens",
                    "negative",
                    "1 or more (call_tokens: 0 or more)");
        }
        for (String call : service.notRepeatable()) {
            String[] parts = call.split(" ", -1);
            if (parts.length != CALL_PATTERN_PARTS || !parts[1].startsWith("/")) {
                addError(key + ".not_repeatable", call, "\"METHOD /path\"");
            }
        }
    }

    private void addError(String key, Object value, String allowed) {
        errors.add("%s = \"%s\": allowed is %s".formatted(key, value, allowed));
    }
}
