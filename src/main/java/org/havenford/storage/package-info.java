/**
 * Client of the consensus-backed key-value store, and the local replica of its keys.
 *
 * <p>The package owns the replica, the typed state built from it that decisions read, the request budget, and the keys
 * locked by unfinished transactions. Only {@code StoreWireCodec} contains the names of the store's protocol. Used by
 * the coordination, standby and controller packages.
 */
package org.havenford.storage;
