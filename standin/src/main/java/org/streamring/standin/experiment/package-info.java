/** Measures how leases are held: demand, faults and the count of what was refused, on the kernel's own ledger. */
@NullMarked
package org.streamring.standin.experiment;

import org.jspecify.annotations.NullMarked;
