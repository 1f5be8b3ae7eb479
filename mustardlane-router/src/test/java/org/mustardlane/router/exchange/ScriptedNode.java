package org.mustardlane.router.exchange;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;

/**
 * A node that keeps what it sees and answers as the test says.
 */
final class ScriptedNode implements EventHandler {

	private final List<NodeEvent> seen = new CopyOnWriteArrayList<>();

	private volatile Function<NodeEvent, List<NodeAction>> script = (event) -> List.of();

	void answerWith(Function<NodeEvent, List<NodeAction>> answers) {
		this.script = answers;
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		this.seen.add(event);
		return this.script.apply(event);
	}

	<T extends NodeEvent> List<T> seen(Class<T> kind) {
		return this.seen.stream().filter(kind::isInstance).map(kind::cast).toList();
	}

	int indexOf(Class<? extends NodeEvent> kind) {
		return this.seen.indexOf(seen(kind).get(0));
	}

}
