/** HTTP client for the backend server, and parsing of its answers. */
@NullMarked
package org.streamring.sidecar.backend;

import org.jspecify.annotations.NullMarked;
