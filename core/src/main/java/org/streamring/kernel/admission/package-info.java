/** Decides whether a request waits or is refused, and detects overload of the link and the event loop of this box. */
@NullMarked
package org.streamring.kernel.admission;

import org.jspecify.annotations.NullMarked;
