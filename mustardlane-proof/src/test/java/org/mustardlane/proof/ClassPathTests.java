package org.mustardlane.proof;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertNull;

/**
 * Checks that no dependency brings in unwanted libraries. This module has the
 * dependencies of all programs on its class path.
 */
public class ClassPathTests {

	@DataProvider
	public Object[][] unwantedResources() {
		return new Object[][] { { "io/netty/channel/uring/IoUringIoHandler.class" },
				{ "io/netty/handler/proxy/ProxyHandler.class" },
				{ "io/netty/handler/codec/socksx/SocksVersion.class" } };
	}

	@Test(dataProvider = "unwantedResources")
	public void unwantedLibraryIsAbsent(String resource) {
		assertNull(ClassPathTests.class.getClassLoader().getResource(resource));
	}

}
