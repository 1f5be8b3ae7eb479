package org.mustardlane.proof.caller;

/**
 * What the bytes of an answer are.
 */
public enum AnswerVerdict {

	/**
	 * The whole answer of one generation to this request.
	 */
	WHOLE,

	/**
	 * The beginning of an answer of one generation to this request.
	 */
	SHORT,

	/**
	 * Not an answer of one generation to this request: of another request, of two
	 * generations, or with bytes missing or doubled.
	 */
	FOREIGN

}
