/** A small HTTP server that the stand-ins share. */
@NullMarked
package org.streamring.standin.http;

import org.jspecify.annotations.NullMarked;
