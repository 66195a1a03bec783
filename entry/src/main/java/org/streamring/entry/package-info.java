/** The entry program: callers' requests in, decisions, answers out. */
@NullMarked
package org.streamring.entry;

import org.jspecify.annotations.NullMarked;
