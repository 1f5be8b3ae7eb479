/**
 * gRPC service for operators.
 */
@NullMarked
package org.mustardlane.router.operator;

import org.jspecify.annotations.NullMarked;
