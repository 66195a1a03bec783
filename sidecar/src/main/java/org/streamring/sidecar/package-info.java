/** The sidecar program: the only way to one backend server. */
@NullMarked
package org.streamring.sidecar;

import org.jspecify.annotations.NullMarked;
