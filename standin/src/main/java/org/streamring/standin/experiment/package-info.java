/** Experiments with the lease ledger of the kernel under load and faults, and measurements of overhead and memory. */
@NullMarked
package org.streamring.standin.experiment;

import org.jspecify.annotations.NullMarked;
