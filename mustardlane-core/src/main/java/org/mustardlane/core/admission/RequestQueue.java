package org.mustardlane.core.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * Orders the asks that wait in one shard.
 */
interface RequestQueue {

	/**
	 * Adds an ask.
	 * @param pending the ask
	 */
	void add(PendingRequest pending);

	/**
	 * Tells whether an ask waits.
	 * @param key the ask
	 * @return true if it waits
	 */
	boolean contains(AttemptKey key);

	/**
	 * Removes an ask.
	 * @param key the ask
	 * @return the ask, or empty where it does not wait
	 */
	Optional<PendingRequest> remove(AttemptKey key);

	/**
	 * Removes the first ask, in the order of this queue, that is placed.
	 * @param tryGrant tries to place an ask
	 * @return whether an ask was placed
	 */
	boolean removeFirst(Predicate<PendingRequest> tryGrant);

	/**
	 * Removes the asks that can no longer meet their deadline.
	 * @param nowMillis the time
	 * @return the asks
	 */
	List<PendingRequest> removeOverdue(long nowMillis);

	/**
	 * Removes the last ask of the lowest class below a given one, to make room.
	 * @param serviceClass the class that needs room
	 * @return the ask, or empty where nothing of a lower class waits
	 */
	Optional<PendingRequest> removeLastBelow(ServiceClass serviceClass);

	/**
	 * Removes all asks.
	 * @return the asks, in the order of this queue
	 */
	List<PendingRequest> removeAll();

	/**
	 * Returns the number of asks.
	 * @return the number of asks
	 */
	int size();

	/**
	 * Returns the work that will be served before a new ask.
	 * @param pending the new ask
	 * @return milliseconds of work of one slot; 0 where the order does not tell
	 */
	long backlogAheadMillis(PendingRequest pending);

}
