package org.wasabicart.standin.store;

/**
 * One stored key with its revisions.
 *
 * @param key key in Base64, as in the published format
 * @param value value in Base64
 * @param createRevision revision at which the key was created
 * @param modRevision revision of the last write
 * @param version number of writes since the creation; zero marks a deleted key
 * @param lease lease that the key is attached to, or zero
 */
record KeyValue(String key, String value, long createRevision, long modRevision, long version, long lease) {

	boolean deleted() {
		return this.version == 0;
	}

}
