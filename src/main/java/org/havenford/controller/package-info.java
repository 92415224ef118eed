/**
 * Composition root: wires the components of a controller, runs them in rounds, and routes requests to them.
 *
 * <p>Used by the command line and by tests.
 */
package org.havenford.controller;
