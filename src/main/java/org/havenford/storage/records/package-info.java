/**
 * Typed records of what is kept in the state service, with the codecs of their stored forms.
 *
 * <p>Field names of stored values appear here, and nowhere else. Records are read by coordination and written by it in
 * transactions; this package itself sends nothing.
 */
package org.havenford.storage.records;
