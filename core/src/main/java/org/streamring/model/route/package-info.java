/** Routing configuration of a deployment: routes, services, client accounts and limits. */
@NullMarked
package org.streamring.model.route;

import org.jspecify.annotations.NullMarked;
