package org.mustardlane.core.message;

import java.util.List;

import org.mustardlane.core.model.log.LogRecord;

/**
 * Relays catalogue records to a peer.
 *
 * @param records the records, in offset order; a checkpoint comes first if older records
 * are no longer retained
 */
public record CatalogueRelay(List<LogRecord> records) implements PeerMessage {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public CatalogueRelay {
		records = List.copyOf(records);
	}

}
