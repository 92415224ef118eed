/**
 * Settings of the platform (JSON) and of the operators (XML).
 *
 * <p>Values are read once at the start and immutable afterwards. Any package above may read them.
 */
package org.havenford.settings;
