/**
 * Composition root: builds one controller of all its parts, and runs their loops in rounds.
 *
 * <p>It owns the wiring and the round timer. Called by the command line and by tests.
 */
package org.havenford.controller;
