/** What a policy may see and decide; compilers are plug-ins found by ServiceLoader. */
@NullMarked
package org.streamring.kernel.policy;

import org.jspecify.annotations.NullMarked;
