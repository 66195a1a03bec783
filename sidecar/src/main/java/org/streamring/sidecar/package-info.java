/** The sidecar program, which forwards all requests to one backend server. */
@NullMarked
package org.streamring.sidecar;

import org.jspecify.annotations.NullMarked;
