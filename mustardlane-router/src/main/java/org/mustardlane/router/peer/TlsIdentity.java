package org.mustardlane.router.peer;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;

import io.grpc.ChannelCredentials;
import io.grpc.InsecureChannelCredentials;
import io.grpc.InsecureServerCredentials;
import io.grpc.ServerCredentials;
import io.grpc.TlsChannelCredentials;
import io.grpc.TlsServerCredentials;

/**
 * The TLS files with which routers and operators authenticate each other.
 *
 * @param certificate certificate chain in PEM
 * @param key private key in PEM
 * @param trust trusted certificates in PEM
 */
public record TlsIdentity(Path certificate, Path key, Path trust) {

	/**
	 * Creates the credentials of a server.
	 * @param identity the TLS files, empty for plain text
	 * @return the credentials; with TLS, clients must present a trusted certificate
	 * @throws IOException if a TLS file cannot be read
	 */
	public static ServerCredentials serverCredentials(Optional<TlsIdentity> identity) throws IOException {
		if (identity.isEmpty()) {
			return InsecureServerCredentials.create();
		}
		TlsIdentity files = identity.get();
		return TlsServerCredentials.newBuilder()
			.keyManager(files.certificate().toFile(), files.key().toFile())
			.trustManager(files.trust().toFile())
			.clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
			.build();
	}

	/**
	 * Creates the credentials of a client.
	 * @param identity the TLS files, empty for plain text
	 * @return the credentials
	 * @throws IOException if a TLS file cannot be read
	 */
	public static ChannelCredentials clientCredentials(Optional<TlsIdentity> identity) throws IOException {
		if (identity.isEmpty()) {
			return InsecureChannelCredentials.create();
		}
		TlsIdentity files = identity.get();
		return TlsChannelCredentials.newBuilder()
			.keyManager(files.certificate().toFile(), files.key().toFile())
			.trustManager(files.trust().toFile())
			.build();
	}

}
