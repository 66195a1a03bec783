/** Interface to the platform's transactional table: rows, operations and transactions. */
@NullMarked
package org.streamring.kernel.table;

import org.jspecify.annotations.NullMarked;
