/** Decisions on which bodies an entry keeps in memory. */
package org.streamring.kernel.memory;
