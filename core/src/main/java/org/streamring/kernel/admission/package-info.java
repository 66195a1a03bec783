/** Whether a request waits or is turned away, and what this box can do itself at the moment. */
@NullMarked
package org.streamring.kernel.admission;

import org.jspecify.annotations.NullMarked;
