/**
 * Job API, dependencies between jobs, and final states.
 *
 * <p>It owns the requests that wait for an answer and the cache of final states; jobs themselves are records of the store.
 * Called by the controller and by scheduling.
 */
package org.havenford.coordination.jobs;
