/**
 * Types of the values in the store, with the codecs of their stored forms.
 *
 * <p>Only this package contains the field names of these values. The coordination package reads the values and writes
 * them in transactions; this package itself does no I/O.
 */
package org.havenford.storage.records;
