/** HTTP client with a timeout per call and connection reuse, and handlers of connections of callers. */
@NullMarked
package org.streamring.net.http;

import org.jspecify.annotations.NullMarked;
