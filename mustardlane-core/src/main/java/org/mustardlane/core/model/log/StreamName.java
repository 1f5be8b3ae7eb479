package org.mustardlane.core.model.log;

/**
 * Name of a stream of the log.
 *
 * @param value the name
 */
public record StreamName(String value) {

	/**
	 * The stream of catalogue changes and checkpoints.
	 */
	public static final StreamName CATALOGUE = new StreamName("catalogue");

	/**
	 * The stream of leases and orders to engines.
	 */
	public static final StreamName ORDERS = new StreamName("orders");

	private static final String CLAIMS_PREFIX = "claims-";

	/**
	 * Returns the name of the stream of a claim partition.
	 * @param partition number of the partition, starting at 0
	 * @return the name of the stream
	 */
	public static StreamName claimPartition(int partition) {
		return new StreamName(CLAIMS_PREFIX + partition);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
