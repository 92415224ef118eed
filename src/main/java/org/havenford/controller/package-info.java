/**
 * Composition root: builds one controller of all its parts, runs them in rounds, and routes requests to them.
 *
 * <p>It owns the wiring and the round timer. Called by the command line and by tests.
 */
package org.havenford.controller;
