/** Calls to the backend server and reading of its answers. */
@NullMarked
package org.streamring.sidecar.backend;

import org.jspecify.annotations.NullMarked;
