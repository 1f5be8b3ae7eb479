package org.mustardlane.core.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * Orders the grant requests that wait in one shard.
 */
interface RequestQueue {

	/**
	 * Adds a request.
	 * @param pending the request
	 */
	void add(PendingRequest pending);

	/**
	 * Checks whether a request is queued.
	 * @param key the key of the request
	 * @return true if the request is queued
	 */
	boolean contains(AttemptKey key);

	/**
	 * Removes a request.
	 * @param key the key of the request
	 * @return the removed request, or empty if it was not queued
	 */
	Optional<PendingRequest> remove(AttemptKey key);

	/**
	 * Offers queued requests in queue order and removes the first one that is handled.
	 * @param tryHandle tries to grant or redirect a request and returns true on success
	 * @return true if a request was handled and removed
	 */
	boolean removeFirst(Predicate<PendingRequest> tryHandle);

	/**
	 * Removes the requests that can no longer meet their deadlines.
	 * @param nowMillis the current time in milliseconds
	 * @return the removed requests
	 */
	List<PendingRequest> removeOverdue(long nowMillis);

	/**
	 * Removes the last request of the lowest service class below the given one, to make
	 * room.
	 * @param serviceClass the class of the request that needs room
	 * @return the removed request, or empty if no request of a lower class is queued
	 */
	Optional<PendingRequest> removeLastBelow(ServiceClass serviceClass);

	/**
	 * Removes all requests.
	 * @return the removed requests in queue order
	 */
	List<PendingRequest> removeAll();

	/**
	 * Returns the number of queued requests.
	 * @return the number of requests
	 */
	int size();

	/**
	 * Returns the total service time of the requests that will be served before a new
	 * one.
	 * @param pending the new request
	 * @return service time in milliseconds of a single slot; 0 if the queue does not
	 * estimate it
	 */
	long backlogAheadMillis(PendingRequest pending);

}
