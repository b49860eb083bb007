package org.wasabicart.review;

import java.nio.file.Path;

/**
 * Case of the review that runs the project's programs.
 */
@FunctionalInterface
interface ReviewCase {

	/** Exit status if the rule held. */
	int HELD = 10;

	/** Exit status if the rule was broken. */
	int BROKEN = 11;

	/** Exit status if the case could not run. */
	int NOT_RUN = 12;

	/**
	 * Plays the case.
	 * @param record record of the case
	 * @param trouble whether the disruption happens
	 * @return number of violations of the rule, or a negative number if the case could
	 * not run as intended
	 */
	int play(Record record, boolean trouble) throws Exception;

	/**
	 * Runs a case and ends the process.
	 * @param arguments folder of the case
	 * @param reviewCase case
	 */
	static void run(String[] arguments, ReviewCase reviewCase) {
		int status = NOT_RUN;
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			record.log("start, TROUBLE=%d", trouble ? 1 : 0);
			try {
				int violations = reviewCase.play(record, trouble);
				status = (violations < 0) ? NOT_RUN : (violations > 0) ? BROKEN : HELD;
				record.log("result: %s", (status == BROKEN) ? "the rule was broken, " + violations + " times"
						: (status == HELD) ? "the rule held" : "the case could not run");
			}
			catch (Exception ex) {
				record.log("the case could not run: %s", ex);
				ex.printStackTrace();
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

}
