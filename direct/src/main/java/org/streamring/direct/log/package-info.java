/** Structured log with one line for each decision. */
@NullMarked
package org.streamring.direct.log;

import org.jspecify.annotations.NullMarked;
