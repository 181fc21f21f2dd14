package io.dotterelcrank.process.relay;

/**
 * Decides how full an engine may be with a further KV backup. Addresses two load
 * patterns: engines that are reclaimed every few seconds, where a backup saves a
 * generation; and engines that are all nearly full, where the memory of backups makes new
 * prompts wait. Backups yield to prompts as the memory of all engines fills up.
 * Stateless.
 */
final class BackupPolicy {

	/** Fraction of an engine's memory that may be in use while memory is plenty. */
	static final double MAX_MEMORY_FRACTION = 0.4;

	/** Fraction of all memory in use up to which memory is plenty. */
	static final double PLENTY_FRACTION = 0.5;

	/** Fraction of all memory in use from which on there are no new backups. */
	static final double SHORT_FRACTION = 0.7;

	private BackupPolicy() {
	}

	/**
	 * Returns the limit for an engine that is to keep a backup.
	 * @param usedFraction fraction of the memory of all engines that is in use
	 * @return fraction of the engine's memory that may be in use, the backup included
	 */
	static double maxMemoryFraction(double usedFraction) {
		double spare = (SHORT_FRACTION - usedFraction) / (SHORT_FRACTION - PLENTY_FRACTION);
		return MAX_MEMORY_FRACTION * Math.max(0, Math.min(1, spare));
	}

}
