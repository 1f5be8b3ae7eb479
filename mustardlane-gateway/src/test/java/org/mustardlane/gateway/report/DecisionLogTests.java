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
 * Tests of log lines that are written before the logging library is ready.
 */
public class DecisionLogTests {

	private final AtomicLong nowMillis = new AtomicLong();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final DecisionLog log = new DecisionLog(new LogRateLimiter(1000, this.nowMillis::get), this.nowMillis::get);

	private Logger createLogger(Level level) {
		return new SimpleLogger("decision", level, false, false, false, false, "", null,
				new PropertiesUtil("none.properties"), new PrintStream(this.output, true, StandardCharsets.UTF_8));
	}

	private List<String> writtenLines() {
		return this.output.toString(StandardCharsets.UTF_8).lines().toList();
	}

	@Test
	public void bufferedLineIsWrittenWithItsBufferingTimeOnceTheLogIsOpen() {
		this.log.write(LogEvent.ROUTES_CHANGED, "version", 7);
		this.nowMillis.set(300);
		this.log.open(createLogger(Level.INFO));
		this.log.write(LogEvent.STARTED, "vm", "vm-1");
		List<String> lines = writtenLines();
		assertEquals(lines.size(), 2);
		assertTrue(lines.get(0).contains("routes-changed"), lines.get(0));
		assertTrue(lines.get(0).contains("heldMillis=\"300\""), lines.get(0));
		assertTrue(lines.get(1).contains("started"), lines.get(1));
		assertFalse(lines.get(1).contains("heldMillis"), lines.get(1));
	}

	@Test
	public void linesAboveTheBufferLimitAreDroppedAndCounted() {
		DecisionLog fullLog = new DecisionLog(new LogRateLimiter(1000, this.nowMillis::get), this.nowMillis::get);
		this.output.reset();
		for (int line = 0; line < DecisionLog.MAX_BUFFERED_LINES + 3; line++) {
			fullLog.write(LogEvent.CALL_ENDED, "number", line);
		}
		fullLog.open(createLogger(Level.INFO));
		List<String> lines = writtenLines();
		assertEquals(lines.size(), DecisionLog.MAX_BUFFERED_LINES + 1);
		String lastLine = lines.get(lines.size() - 1);
		assertTrue(lastLine.contains("lines-lost"), lastLine);
		assertTrue(lastLine.contains("lines=\"3\""), lastLine);
	}

}
