/** Logback configuration and log format of all programs. */
@NullMarked
package org.streamring.net.log;

import org.jspecify.annotations.NullMarked;
