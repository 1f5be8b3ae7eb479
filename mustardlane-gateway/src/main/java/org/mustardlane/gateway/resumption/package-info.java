/**
 * Finds out at which software version a stream began that a caller takes up again, also
 * if another router or an earlier process served its beginning.
 */
@NullMarked
package org.mustardlane.gateway.resumption;

import org.jspecify.annotations.NullMarked;
