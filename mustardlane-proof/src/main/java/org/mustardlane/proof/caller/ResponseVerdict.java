package org.mustardlane.proof.caller;

/**
 * The result of checking the bytes of a response.
 */
public enum ResponseVerdict {

	/**
	 * The complete response of one generation to this request.
	 */
	WHOLE,

	/**
	 * A proper prefix of the response of one generation to this request.
	 */
	SHORT,

	/**
	 * Not a response of one generation to this request: bytes are missing or duplicated,
	 * or belong to another request or to two generations.
	 */
	FOREIGN

}
