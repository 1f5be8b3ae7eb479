package org.mustardlane.proof;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertNull;

/**
 * Tests of what the programs' libraries must not bring; this module has all of them on
 * its class path.
 */
public class ClassPathTests {

	@DataProvider
	public Object[][] unwanted() {
		return new Object[][] { { "io/netty/channel/uring/IoUringIoHandler.class" },
				{ "io/netty/handler/proxy/ProxyHandler.class" },
				{ "io/netty/handler/codec/socksx/SocksVersion.class" } };
	}

	@Test(dataProvider = "unwanted")
	public void unwantedLibraryIsAbsent(String resource) {
		assertNull(ClassPathTests.class.getClassLoader().getResource(resource));
	}

}
