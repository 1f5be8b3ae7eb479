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
 * The files with which routers and operators prove who they are to each other.
 *
 * @param certificate certificate chain in PEM
 * @param key private key in PEM
 * @param trust certificates that are trusted, in PEM
 */
public record TlsIdentity(Path certificate, Path key, Path trust) {

	/**
	 * Returns what a server shows and asks for.
	 * @param identity the files, empty for plain text
	 * @return the credentials; with files, clients must show a trusted certificate
	 * @throws IOException if a file can not be read
	 */
	public static ServerCredentials server(Optional<TlsIdentity> identity) throws IOException {
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
	 * Returns what a client shows and asks for.
	 * @param identity the files, empty for plain text
	 * @return the credentials
	 * @throws IOException if a file can not be read
	 */
	public static ChannelCredentials client(Optional<TlsIdentity> identity) throws IOException {
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
