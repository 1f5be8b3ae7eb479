package org.mustardlane.gateway.wire;

import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.route.RouteTable;

/**
 * Decodes what others write into the platform's log.
 */
public interface KnowledgeDecoder {

	/**
	 * Decodes a version of all routes.
	 * @param key key of the record
	 * @param body the record
	 * @return the routes, or empty where the record is about something else
	 * @throws MalformedRecordException if it can not be read
	 */
	Optional<RouteTable> routes(String key, byte[] body) throws MalformedRecordException;

	/**
	 * Decodes what a target says of itself.
	 * @param key key of the record
	 * @param body the record
	 * @return the target
	 * @throws MalformedRecordException if it can not be read or is incomplete
	 */
	TargetEntry target(String key, byte[] body) throws MalformedRecordException;

}
