/** Authenticated connections between the processes of the system. */
@NullMarked
package org.streamring.net.peer;

import org.jspecify.annotations.NullMarked;
