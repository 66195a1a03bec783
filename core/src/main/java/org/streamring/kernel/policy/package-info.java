/**
 * Inputs and decisions of policies. Policy compilers are plug-ins that are found with {@link java.util.ServiceLoader}.
 */
@NullMarked
package org.streamring.kernel.policy;

import org.jspecify.annotations.NullMarked;
