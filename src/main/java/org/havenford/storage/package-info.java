/**
 * Client of the consensus-backed key-value store, and the local replica of its keys.
 *
 * <p>It owns the replica, the typed view of it that decisions read, the request budget, and the keys locked by unfinished
 * transactions. The store's words on the wire are known to {@code StoreWireCodec} alone. Called by coordination.
 */
package org.havenford.storage;
