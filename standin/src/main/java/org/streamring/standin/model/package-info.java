/** Simulation of engines, plain services and a fleet of entries, which compares wait policies within seconds. */
@NullMarked
package org.streamring.standin.model;

import org.jspecify.annotations.NullMarked;
