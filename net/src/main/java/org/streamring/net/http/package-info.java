/** Calls to an HTTP service, each with its own time limit, on connections that are kept. */
@NullMarked
package org.streamring.net.http;

import org.jspecify.annotations.NullMarked;
