package org.streamring.model.declaration;

/**
 * Declaration of a prepaid budget.
 *
 * @param tokens total tokens granted by declaration; raising it grants the difference
 */
public record BudgetDeclaration(long tokens) {}
