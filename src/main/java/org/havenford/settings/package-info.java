/**
 * The settings of the platform (JSON) and of the operators (XML).
 *
 * <p>Settings are read once at startup and are immutable. Packages of higher layers may use them.
 */
package org.havenford.settings;
