/** Declarations of operators: budgets, client accounts, priority classes, services and policies. */
@NullMarked
package org.streamring.model.declaration;

import org.jspecify.annotations.NullMarked;
