/** TCP proxy that injects network faults between two processes. */
@NullMarked
package org.streamring.standin.proxy;

import org.jspecify.annotations.NullMarked;
