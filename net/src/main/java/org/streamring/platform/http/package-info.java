/** Clients of the platform services over HTTP and JSON, as specified in docs/platform-protocol.md. */
@NullMarked
package org.streamring.platform.http;

import org.jspecify.annotations.NullMarked;
