package org.wasabicart.standin.store;

/**
 * A key with its value and revisions, or the deletion of a key.
 *
 * @param key key in Base64, as in etcd's JSON gateway
 * @param value value in Base64
 * @param createRevision revision at which the key was created
 * @param modRevision revision of the last write
 * @param version number of writes since the key was created; zero marks a deletion
 * @param lease id of the lease that the key is attached to, or zero
 */
record KeyValue(String key, String value, long createRevision, long modRevision, long version, long lease) {

	boolean deleted() {
		return this.version == 0;
	}

}
