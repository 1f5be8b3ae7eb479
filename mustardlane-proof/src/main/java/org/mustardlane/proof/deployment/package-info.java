/**
 * A model of engines and routers in one thread, in which the placement decisions of the
 * product meet seeded load; a minute takes a second or two.
 */
@NullMarked
package org.mustardlane.proof.deployment;

import org.jspecify.annotations.NullMarked;
