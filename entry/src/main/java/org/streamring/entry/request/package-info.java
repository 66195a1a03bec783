/** Processes one request in an entry, from authentication to the final answer. */
@NullMarked
package org.streamring.entry.request;

import org.jspecify.annotations.NullMarked;
