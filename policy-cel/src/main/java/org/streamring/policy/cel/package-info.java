/** Policies in CEL, compiled and bounded before they come into force. */
@NullMarked
package org.streamring.policy.cel;

import org.jspecify.annotations.NullMarked;
