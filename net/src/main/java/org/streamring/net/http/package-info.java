/** HTTP client with a timeout per call and connection reuse. */
@NullMarked
package org.streamring.net.http;

import org.jspecify.annotations.NullMarked;
