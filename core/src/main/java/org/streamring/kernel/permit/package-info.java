/** What a backend server takes from all entries together, by the limit that it names, divided by permits. */
@NullMarked
package org.streamring.kernel.permit;

import org.jspecify.annotations.NullMarked;
