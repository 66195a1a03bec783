/** What backend servers say of themselves besides their entries in the list: that they leave, or want rest. */
@NullMarked
package org.streamring.kernel.availability;

import org.jspecify.annotations.NullMarked;
