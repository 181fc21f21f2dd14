package io.dotterelcrank.process.relay;

/**
 * Decides how full an engine may be with a further KV backup. Addresses two load
 * patterns: engines that are reclaimed every few seconds, where a backup saves a
 * generation; and engines that are all nearly full, where the memory of backups makes new
 * prompts wait. Backups yield to prompts as the memory of all engines fills up.
 * Stateless.
 */
final class BackupPolicy {

	/** Limit of an engine while no more than the unrestricted use is reached. */
	static final double UNRESTRICTED_LIMIT_FRACTION = 0.4;

	/** Use of all engines' memory up to which the limit is not lowered. */
	static final double UNRESTRICTED_USE_FRACTION = 0.5;

	/** Use of all engines' memory from which on there are no new backups. */
	static final double NO_BACKUP_USE_FRACTION = 0.7;

	private BackupPolicy() {
	}

	/**
	 * Returns the limit for an engine that is to keep a backup.
	 * @param usedFraction fraction of the memory of all engines that is in use
	 * @return fraction of the engine's memory that may be in use, the backup included
	 */
	static double maxMemoryFraction(double usedFraction) {
		double headroom = (NO_BACKUP_USE_FRACTION - usedFraction)
				/ (NO_BACKUP_USE_FRACTION - UNRESTRICTED_USE_FRACTION);
		return UNRESTRICTED_LIMIT_FRACTION * Math.max(0, Math.min(1, headroom));
	}

}
