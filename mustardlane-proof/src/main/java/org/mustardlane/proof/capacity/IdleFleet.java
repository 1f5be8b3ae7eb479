package org.mustardlane.proof.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;
import org.mustardlane.core.node.Node;
import org.mustardlane.core.node.NodeSettings;
import org.mustardlane.router.peer.PeerMessageEncoder;

/**
 * Nodes that exchange messages in memory and get no requests. Measures the message
 * traffic and processor time of idle nodes.
 *
 * <p>
 * Not thread-safe.
 */
final class IdleFleet {

	private static final long STEP_MILLIS = 10;

	private static final String HOST = "10.100.100.100";

	private final Map<VmId, Node> nodes = new TreeMap<>();

	private final Deque<Delivery> pendingDeliveries = new ArrayDeque<>();

	private long nowMillis;

	private long sentMessages;

	private long sentBytes;

	IdleFleet(int routers, int domains) {
		List<VmEntry> vmEntries = new ArrayList<>();
		for (int number = 0; number < routers; number++) {
			VmId vm = new VmId("vm-" + number);
			DomainId domain = new DomainId("domain-" + number % domains);
			vmEntries.add(new VmEntry(vm, domain, HOST, 1, VmState.LIVE));
			this.nodes.put(vm, new Node(new NodeSettings(vm, domain, HOST, 1, 1, number)));
		}
		VmList vmList = new VmList(1, vmEntries);
		this.nodes.keySet().forEach((vm) -> handle(vm, new VmListRead(vmList)));
	}

	/**
	 * Advances the simulated time of all nodes.
	 * @param millis the simulated time in milliseconds
	 * @return the average cost of one node
	 */
	NodeCost advance(long millis) {
		this.sentMessages = 0;
		this.sentBytes = 0;
		long startedNanos = System.nanoTime();
		for (long endMillis = this.nowMillis + millis; this.nowMillis < endMillis; this.nowMillis += STEP_MILLIS) {
			this.nodes.keySet().forEach((vm) -> handle(vm, new Tick()));
			deliver();
		}
		double nodeSeconds = this.nodes.size() * millis / 1000.0;
		return new NodeCost(this.sentMessages / nodeSeconds, this.sentBytes / nodeSeconds,
				(System.nanoTime() - startedNanos) / 1000.0 / nodeSeconds);
	}

	private void deliver() {
		while (!this.pendingDeliveries.isEmpty()) {
			Delivery delivery = this.pendingDeliveries.remove();
			handle(delivery.receiver(), delivery.event());
		}
	}

	private void handle(VmId vm, NodeEvent event) {
		for (NodeAction action : this.nodes.get(vm).handle(event, this.nowMillis)) {
			if (action instanceof SendPeer send) {
				this.sentMessages++;
				this.sentBytes += PeerMessageEncoder.encode(send.message()).build().getSerializedSize();
				this.pendingDeliveries.add(new Delivery(send.peer(), new PeerMessageReceived(vm, send.message())));
			}
		}
	}

	/**
	 * The cost of one node per second of simulated time.
	 *
	 * @param messages number of messages sent
	 * @param bytes size of these messages, without HTTP/2 and TCP headers
	 * @param micros processor time in microseconds, including the encoding of messages
	 */
	record NodeCost(double messages, double bytes, double micros) {

	}

	private record Delivery(VmId receiver, NodeEvent event) {

	}

}
