/** Routes, services, client accounts and limits that a deployment's operator declares as a whole. */
@NullMarked
package org.streamring.model.route;

import org.jspecify.annotations.NullMarked;
