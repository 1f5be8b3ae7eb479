/**
 * Assigns chats to shards, so that the turns of a chat reach the engines that have its
 * prompt prefix cached.
 */
@NullMarked
package org.mustardlane.core.chat;

import org.jspecify.annotations.NullMarked;
