/** HTTP server of an entry: receives and parses calls and writes the answers. */
@NullMarked
package org.streamring.entry.caller;

import org.jspecify.annotations.NullMarked;
