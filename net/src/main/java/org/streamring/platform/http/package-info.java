/** The platform's services over HTTP with JSON, as docs/platform-protocol.md describes them. */
@NullMarked
package org.streamring.platform.http;

import org.jspecify.annotations.NullMarked;
