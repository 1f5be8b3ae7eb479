/**
 * Messages between routers.
 */
@NullMarked
package org.mustardlane.core.message;

import org.jspecify.annotations.NullMarked;
