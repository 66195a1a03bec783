/** Registry of backend servers, including those that are shutting down or whose rows lapsed in an outage. */
@NullMarked
package org.streamring.kernel.registry;

import org.jspecify.annotations.NullMarked;
