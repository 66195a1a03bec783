/** Engines, plain services and a fleet of entries in simulated time, where ways of deciding are compared in seconds. */
@NullMarked
package org.streamring.standin.model;

import org.jspecify.annotations.NullMarked;
