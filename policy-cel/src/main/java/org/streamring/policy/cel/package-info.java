/** Compiler for policies written in the Common Expression Language (CEL), with bounded evaluation cost. */
@NullMarked
package org.streamring.policy.cel;

import org.jspecify.annotations.NullMarked;
