package org.wasabicart.standin.store;

import java.util.List;

/**
 * Receives the changes of the keys that one watch covers.
 */
interface WatchListener {

	void changed(long revision, List<KeyValue> changes);

}
