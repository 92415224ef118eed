/**
 * Job API, dependencies between jobs, and final states.
 *
 * <p>This package holds the queries that wait for a comparison with the store, and the cache of final states. Jobs
 * themselves are stored in the state service. It is used by the controller, scheduling and provisioning.
 */
package org.havenford.coordination.jobs;
