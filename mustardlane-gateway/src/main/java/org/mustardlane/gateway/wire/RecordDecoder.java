package org.mustardlane.gateway.wire;

import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.route.RouteTable;

/**
 * Decodes records of the platform's log.
 */
public interface RecordDecoder {

	/**
	 * Decodes a complete version of the routes.
	 * @param key key of the record
	 * @param body body of the record
	 * @return the routes, or empty if the record does not hold routes
	 * @throws MalformedRecordException if the record is malformed
	 */
	Optional<RouteTable> decodeRoutes(String key, byte[] body) throws MalformedRecordException;

	/**
	 * Decodes the entry that a target published about itself.
	 * @param key key of the record
	 * @param body body of the record
	 * @return the target
	 * @throws MalformedRecordException if the record is malformed or incomplete
	 */
	TargetEntry decodeTarget(String key, byte[] body) throws MalformedRecordException;

}
