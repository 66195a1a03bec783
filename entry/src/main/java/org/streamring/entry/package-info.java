/** Entry program: receives the requests of callers, routes them and returns the answers. */
@NullMarked
package org.streamring.entry;

import org.jspecify.annotations.NullMarked;
