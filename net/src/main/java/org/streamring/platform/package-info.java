/** Adapters to the platform's services; plug-ins found by ServiceLoader. */
@NullMarked
package org.streamring.platform;

import org.jspecify.annotations.NullMarked;
