/** Memory of an entry for the bodies of requests and answers. */
package org.streamring.direct.memory;
