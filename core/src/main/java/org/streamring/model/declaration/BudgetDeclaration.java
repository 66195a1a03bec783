package org.streamring.model.declaration;

/**
 * A prepaid budget as an operator declares it.
 *
 * @param tokens total tokens granted by declaration; raising it grants the difference
 */
public record BudgetDeclaration(long tokens) {}
