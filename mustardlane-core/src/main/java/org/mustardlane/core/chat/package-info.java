/**
 * Returning chats and the engines that hold their prompt prefixes.
 */
@NullMarked
package org.mustardlane.core.chat;

import org.jspecify.annotations.NullMarked;
