/**
 * What a platform's headers, bodies and records say, as types; adapters translate.
 */
@NullMarked
package org.mustardlane.gateway.wire;

import org.jspecify.annotations.NullMarked;
