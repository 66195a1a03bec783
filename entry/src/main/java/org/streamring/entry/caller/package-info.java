/** The callers' side of an entry: HTTP in, parsed calls, answers out. */
@NullMarked
package org.streamring.entry.caller;

import org.jspecify.annotations.NullMarked;
