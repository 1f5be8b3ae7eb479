package org.mustardlane.core.model.common;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing: orders candidates for each key. All processes compute the same
 * order, which changes little when a candidate is added or removed.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
public final class RendezvousHash {

	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private RendezvousHash() {
	}

	/**
	 * Hashes a text to 64 bits, with the same result in every process.
	 * @param text the text
	 * @return the hash
	 */
	public static long hash(String text) {
		return hash(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Hashes bytes to 64 bits, with the same result in every process.
	 * @param bytes the bytes
	 * @return the hash
	 */
	public static long hash(byte[] bytes) {
		return MurmurHash3.hash128x64(bytes)[0];
	}

	/**
	 * Computes the score of a candidate for a key. The candidate with the highest score
	 * is ranked first.
	 * @param keyHash the hash of the key
	 * @param candidateHash the hash of the candidate
	 * @return the score, which must be compared as an unsigned number
	 */
	public static long score(long keyHash, long candidateHash) {
		long mixed = (keyHash ^ Long.rotateLeft(candidateHash, 31)) * MULTIPLIER;
		mixed = (mixed ^ (mixed >>> 32)) * MULTIPLIER;
		mixed = (mixed ^ (mixed >>> 29)) * MULTIPLIER;
		return mixed ^ (mixed >>> 32);
	}

	/**
	 * Orders candidates for a key by descending score.
	 * @param <T> type of the candidates, whose {@code toString()} is the same in every
	 * process
	 * @param keyHash the hash of the key
	 * @param candidates the candidates
	 * @return the candidates in order
	 */
	public static <T> List<T> rank(long keyHash, Collection<T> candidates) {
		Comparator<Scored<T>> byScore = (left, right) -> Long.compareUnsigned(right.score(), left.score());
		return candidates.stream()
			.map((candidate) -> new Scored<>(candidate, score(keyHash, hash(candidate.toString()))))
			.sorted(byScore.thenComparing((scored) -> scored.candidate().toString()))
			.map(Scored::candidate)
			.toList();
	}

	/**
	 * Returns the candidate with the highest score for a key.
	 * @param <T> type of the candidates, whose {@code toString()} is the same in every
	 * process
	 * @param keyHash the hash of the key
	 * @param candidates the candidates
	 * @return the first candidate of {@link #rank}, or empty without candidates
	 */
	public static <T> Optional<T> highestRanked(long keyHash, Collection<T> candidates) {
		return rank(keyHash, candidates).stream().findFirst();
	}

	private record Scored<T>(T candidate, long score) {

	}

}
