/** Outcomes and refusals of requests, as reported to callers. */
@NullMarked
package org.streamring.model.request;

import org.jspecify.annotations.NullMarked;
