/** The platform's transactional table as the decisions see it: rows, operations, transactions. */
@NullMarked
package org.streamring.kernel.table;

import org.jspecify.annotations.NullMarked;
