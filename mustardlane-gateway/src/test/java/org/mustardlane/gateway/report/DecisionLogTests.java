package org.mustardlane.gateway.report;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.util.PropertiesUtil;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of the lines of a daemon that starts.
 */
public class DecisionLogTests {

	private final AtomicLong now = new AtomicLong();

	private final ByteArrayOutputStream written = new ByteArrayOutputStream();

	private final DecisionLog log = new DecisionLog(new RateLimit(1000, this.now::get), this.now::get);

	private Logger logger(Level level) {
		return new SimpleLogger("decision", level, false, false, false, false, "", null,
				new PropertiesUtil("none.properties"), new PrintStream(this.written, true, StandardCharsets.UTF_8));
	}

	private List<String> lines() {
		return this.written.toString(StandardCharsets.UTF_8).lines().toList();
	}

	@Test
	public void lineOfTheStartIsWrittenOnceTheLibraryIsReadyWithTheTimeItWasHeld() {
		this.log.write(LogEvent.ROUTES_CHANGED, "version", 7);
		this.now.set(300);
		this.log.open(logger(Level.INFO));
		this.log.write(LogEvent.STARTED, "vm", "vm-1");
		List<String> lines = lines();
		assertEquals(lines.size(), 2);
		assertTrue(lines.get(0).contains("routes-changed"), lines.get(0));
		assertTrue(lines.get(0).contains("heldMillis=\"300\""), lines.get(0));
		assertTrue(lines.get(1).contains("started"), lines.get(1));
		assertFalse(lines.get(1).contains("heldMillis"), lines.get(1));
	}

	@Test
	public void linesBeyondTheBoundOfTheStartAreCounted() {
		DecisionLog full = new DecisionLog(new RateLimit(1000, this.now::get), this.now::get);
		this.written.reset();
		for (int line = 0; line < DecisionLog.MOST_HELD_LINES + 3; line++) {
			full.write(LogEvent.CALL_ENDED, "number", line);
		}
		full.open(logger(Level.INFO));
		List<String> lines = lines();
		assertEquals(lines.size(), DecisionLog.MOST_HELD_LINES + 1);
		String last = lines.get(lines.size() - 1);
		assertTrue(last.contains("lines-lost"), last);
		assertTrue(last.contains("lines=\"3\""), last);
	}

}
