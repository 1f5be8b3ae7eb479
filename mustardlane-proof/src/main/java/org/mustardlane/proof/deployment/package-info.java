/**
 * Single-threaded simulation of engines and routers that runs the placement policies of
 * the gateway against seeded load. A simulated minute takes a second or two.
 */
@NullMarked
package org.mustardlane.proof.deployment;

import org.jspecify.annotations.NullMarked;
